//! Settings are validated as a whole, and each error names the field, the value found and the
//! value expected.

use host::{Settings, TestSwitches};
use model::Millis;

const MINIMAL_SETTINGS: &str = "zone: khomas-a\nservice: index-board\nplatform: 10.0.0.9:80\n";

#[test]
fn omitted_fields_get_defaults() {
    let settings = Settings::parse(MINIMAL_SETTINGS).expect("the settings are valid");

    assert_eq!(settings.cell.to_string(), "index-board/0");
    assert_eq!(settings.timing, ownership::Timing::default());
    assert_eq!(settings.platform_time_limit, Millis(1_000));
    assert_eq!(settings.listen.callers.to_string(), "127.0.0.1:0");
    assert_eq!(settings.test_switches, TestSwitches::Off);
}

#[test]
fn errors_name_the_field_and_the_expected_value() {
    let cases = [
        ("", "missing field `zone`"),
        ("zone: a\nservice: b\n", "missing field `platform`"),
        ("zone: a\nservice: b\nplatform: c\ntypo: 1\n", "unknown field `typo`"),
        (
            "zone: a\nservice: b\nplatform: c:80\n",
            "platform: found \"c:80\", expected an IP number",
        ),
        (
            "zone: A B\nservice: b\nplatform: 10.0.0.9:80\n",
            "zone: found \"A B\", expected a name; found the character 'A'",
        ),
        (
            "zone: a\nservice: b\nplatform: 10.0.0.9:80\nlisten: {hosts: here}\n",
            "listen.hosts: found \"here\", expected an IP number",
        ),
        (
            "zone: a\nservice: b\nplatform: 10.0.0.9:80\ntiming: {term_ms: 400}\n",
            "timing.term_ms: found 400, expected more than",
        ),
        (
            "zone: a\nservice: b\nplatform: 10.0.0.9:80\ntiming: {silence_limit_ms: 10}\n",
            "timing.silence_limit_ms: found 10, expected more than renew_interval_ms",
        ),
    ];
    for (text, expected) in cases {
        let error = Settings::parse(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{text:?} gave {error:?}, expected {expected:?}");
    }
}

#[test]
fn all_errors_are_reported_together() {
    let text = "zone: A\nservice: B\nplatform: c\nlisten: {callers: d}\n";

    let error = Settings::parse(text).expect_err("four values are wrong").to_string();

    assert_eq!(error.lines().count(), 4, "{error}");
}

#[test]
fn an_oversized_document_is_rejected_before_parsing() {
    let text = format!("{MINIMAL_SETTINGS}# {}\n", "x".repeat(70_000));

    let error = Settings::parse(&text).expect_err("the document is too long").to_string();

    assert!(error.contains("expected at most 65536"), "{error}");
}
