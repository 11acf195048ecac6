//! Prints the configuration of a deployment that sells space weather alerts.

use model::{Millis, Priority};
use papayarill_config::{
    Config, ConfigBuilder, ConfigError, KeySource, Method, RuleBuilder, ServiceBuilder, to_yaml,
};

const BACKEND_SERVERS: u32 = 6;
const SLOTS: u32 = 6;
const CONNECTIONS: u32 = 110;

/// Storm indices by station: read by all customers and written by the observatories.
fn index_board() -> ServiceBuilder {
    ServiceBuilder::new("index-board")
        .keys(&KeySource::PathSegment(1))
        .partitions(192)
        .backend_servers(BACKEND_SERVERS)
        .slots(SLOTS)
        .connections(CONNECTIONS)
        .reserved_slots(2)
        .unfenced_grace(Millis(2_000))
        .rule(
            RuleBuilder::new("/stations/*/calibration/**")
                .methods([Method::Get])
                .repeatable()
                .priority(Priority::Internal)
                .time_limit(Millis(5_000)),
        )
        .rule(
            RuleBuilder::new("/stations/**")
                .methods([Method::Get, Method::Head])
                .repeatable()
                .time_limit(Millis(2_000)),
        )
        .rule(RuleBuilder::new("/stations/**").time_limit(Millis(5_000)))
}

/// Subscriptions and dispatch orders, which must never run twice.
fn alert_dispatch() -> ServiceBuilder {
    ServiceBuilder::new("alert-dispatch")
        .backend_servers(BACKEND_SERVERS)
        .slots(SLOTS)
        .connections(CONNECTIONS)
        .reserved_slots(2)
        .record_retention(Millis(3_600_000))
        .rule(
            RuleBuilder::new("/orders/**")
                .methods([Method::Get])
                .repeatable()
                .time_limit(Millis(2_000)),
        )
        .rule(
            RuleBuilder::new("/orders/**")
                .methods([Method::Post])
                .priority(Priority::Interactive)
                .time_limit(Millis(10_000)),
        )
        .rule(
            RuleBuilder::new("/subscriptions/**")
                .methods([Method::Post, Method::Delete])
                .time_limit(Millis(10_000)),
        )
        .rule(
            RuleBuilder::new("/archive/**")
                .methods([Method::Get])
                .repeatable()
                .priority(Priority::Internal)
                .time_limit(Millis(30_000)),
        )
}

/// Forecasts, which are read-only and may take long to compute.
fn forecast_outlook() -> ServiceBuilder {
    ServiceBuilder::new("forecast-outlook")
        .backend_servers(BACKEND_SERVERS)
        .slots(SLOTS)
        .connections(CONNECTIONS)
        .reserved_slots(1)
        .rule(
            RuleBuilder::new("/runs/**")
                .methods([Method::Get])
                .repeatable()
                .priority(Priority::Deferrable)
                .time_limit(Millis(60_000)),
        )
        .rule(
            RuleBuilder::new("/**")
                .methods([Method::Get, Method::Head])
                .repeatable()
                .time_limit(Millis(3_000)),
        )
}

/// Returns the configuration, or its validation errors.
pub fn config() -> Result<Config, ConfigError> {
    ConfigBuilder::new()
        .region("khomas", ["khomas-a", "khomas-b"])
        .region("erongo", ["erongo-a", "erongo-b"])
        .region("oshana", ["oshana-a", "oshana-b"])
        .service(index_board())
        .service(alert_dispatch())
        .service(forecast_outlook())
        .build()
}

fn main() -> Result<(), ConfigError> {
    print!("{}", to_yaml(&config()?));
    Ok(())
}
