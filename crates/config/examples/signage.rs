//! Prints the configuration of a deployment that runs storefront signage.

use model::{Millis, Priority};
use papayarill_config::{
    Config, ConfigBuilder, ConfigError, KeySource, Method, RuleBuilder, ServiceBuilder, to_yaml,
};

const BACKEND_SERVERS: u32 = 6;
const SLOTS: u32 = 18;
const CONNECTIONS: u32 = 130;

/// The playlist of each screen, whose requests must not wait for other work.
fn playlists() -> ServiceBuilder {
    ServiceBuilder::new("playlists")
        .keys(&KeySource::PathSegment(1))
        .partitions(192)
        .backend_servers(BACKEND_SERVERS)
        .slots(SLOTS)
        .connections(CONNECTIONS)
        .reserved_slots(6)
        .rule(
            RuleBuilder::new("/screens/**")
                .methods([Method::Get, Method::Head])
                .repeatable()
                .time_limit(Millis(5_000)),
        )
        .rule(RuleBuilder::new("/screens/**").time_limit(Millis(10_000)))
}

/// Campaign pushes, which must never run twice.
fn campaigns() -> ServiceBuilder {
    ServiceBuilder::new("campaigns")
        .backend_servers(BACKEND_SERVERS)
        .slots(SLOTS)
        .connections(CONNECTIONS)
        .reserved_slots(6)
        .record_retention(Millis(3_600_000))
        .rule(
            RuleBuilder::new("/pushes/**")
                .methods([Method::Get])
                .repeatable()
                .time_limit(Millis(5_000)),
        )
        .rule(
            RuleBuilder::new("/pushes/**")
                .methods([Method::Post])
                .priority(Priority::Interactive)
                .time_limit(Millis(15_000)),
        )
}

/// Reports and proof-of-play lookups, which are less urgent.
fn reporting() -> ServiceBuilder {
    ServiceBuilder::new("reporting")
        .backend_servers(BACKEND_SERVERS)
        .slots(SLOTS)
        .connections(CONNECTIONS)
        .reserved_slots(2)
        .rule(
            RuleBuilder::new("/lookups/**")
                .methods([Method::Get])
                .repeatable()
                .priority(Priority::Internal)
                .time_limit(Millis(30_000)),
        )
        .rule(
            RuleBuilder::new("/**")
                .methods([Method::Get, Method::Head])
                .repeatable()
                .priority(Priority::Deferrable)
                .time_limit(Millis(60_000)),
        )
}

/// Returns the configuration, or its validation errors.
pub fn config() -> Result<Config, ConfigError> {
    ConfigBuilder::new()
        .region("hu-west", ["hu-west-a", "hu-west-b"])
        .region("hu-centre", ["hu-centre-a", "hu-centre-b"])
        .region("hu-east", ["hu-east-a", "hu-east-b"])
        .service(playlists())
        .service(campaigns())
        .service(reporting())
        .build()
}

fn main() -> Result<(), ConfigError> {
    print!("{}", to_yaml(&config()?));
    Ok(())
}
