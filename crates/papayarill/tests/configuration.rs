//! Tests `papayarill check` and `apply` as separate processes against a platform stand-in.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;

use host::operators::{HostState, Status};
use model::HostAddr;

const EXIT_OK: i32 = 0;
const EXIT_FAILURE: i32 = 1;
const EXIT_USAGE: i32 = 2;

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).display().to_string()
}

/// Writes a document and returns its path. Each test uses its own file names.
fn write_document(name: &str, text: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("configuration");
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

/// Writes the signage example with another number of slots and returns its path.
fn signage_with_slots(name: &str, slots: u32) -> String {
    let text = std::fs::read_to_string(example("signage.yaml")).expect("the example");
    write_document(name, &text.replace("slots: 18\n", &format!("slots: {slots}\n")))
}

fn spawn(args: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_papayarill"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("a started process")
}

/// Waits for the process and returns its exit code and its combined output.
fn finish(child: Child) -> (i32, String) {
    let Output { status, stdout, stderr } = child.wait_with_output().expect("an ended process");
    let printed = [stdout, stderr].concat();
    (status.code().expect("no signal"), String::from_utf8_lossy(&printed).into_owned())
}

/// Runs a command and checks its exit code and that its output contains these texts.
fn check(args: &[&str], code: i32, texts: &[&str]) {
    let (found, printed) = finish(spawn(args));
    assert_eq!(found, code, "{args:?}: {printed}");
    for text in texts {
        assert!(printed.contains(text), "{args:?}: {text:?} is not in {printed}");
    }
}

fn start_platform() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let _handle = stand_ins::platform::start(listener).expect("a started stand-in");
            std::future::pending::<()>().await;
        });
    });
    addr.to_string()
}

fn status(config_version: u64) -> Status {
    Status {
        cell: "playlists/0".into(),
        addr: HostAddr(SocketAddr::from(([127, 0, 0, 1], 9))),
        zone: "hu-west-a".into(),
        epoch: 1,
        row_version: 1,
        grantors: Vec::new(),
        coordinator: false,
        session: None,
        lease_left_ms: None,
        members: Vec::new(),
        partitions: Vec::new(),
        config_version,
        state: HostState::Serving,
        backend_server: None,
        running: 0,
        waiting: 0,
        quarantined: Vec::new(),
    }
}

/// Starts a server that answers each status request with the next of these versions. The last
/// version is repeated.
fn start_host(versions: &'static [u64]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let last = versions.last().expect("a version");
    let versions = versions.iter().chain(std::iter::repeat(last));
    thread::spawn(move || {
        for (stream, version) in listener.incoming().zip(versions) {
            let mut stream = stream.expect("a connection");
            let body = serde_json::to_string(&status(*version)).expect("JSON");
            let length = body.len();
            let count = stream.read(&mut [0; 4_096]).expect("a request");
            assert!(count > 0);
            let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}");
            stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).expect("a connection");
        }
    });
    addr.to_string()
}

#[test]
fn check_accepts_the_examples_and_lists_all_errors_of_invalid_documents() {
    check(&["check", &example("solar-watch.yaml")], EXIT_OK, &["valid", "3 services"]);
    check(&["check", &example("signage.yaml")], EXIT_OK, &["valid", "3 services"]);
    let faulty =
        write_document("faulty.yaml", "regions: [{name: r, zones: [z]}]\nservices:\n- slots: x\n");
    check(
        &["check", &faulty],
        EXIT_FAILURE,
        &[
            "faulty.yaml: line 3: services[0].name: found nothing, expected a name",
            "faulty.yaml: line 3: services[0].slots: found \"x\", expected a whole number from 1",
        ],
    );
    check(&["check", "/no/such/file"], EXIT_FAILURE, &["/no/such/file: cannot be read"]);
    check(&["check", &write_document("binary.yaml", "a: \u{1}")], EXIT_FAILURE, &["binary.yaml"]);
    check(&["check"], EXIT_USAGE, &["--help"]);
    check(&["check", "a", "b"], EXIT_USAGE, &["--help"]);
}

#[test]
fn apply_rejects_an_invalid_command_line() {
    let document = example("signage.yaml");
    let based_on = ["apply", &document, "--based-on"];
    check(&["apply", &document], EXIT_USAGE, &["--based-on"]);
    check(&[&based_on[..], &["1"]].concat(), EXIT_USAGE, &["--platform"]);
    check(
        &[&based_on[..], &["x", "--platform", "127.0.0.1:1"]].concat(),
        EXIT_USAGE,
        &["found \"x\", expected"],
    );
    check(&[&based_on[..], &["1", "--platform", "nowhere"]].concat(), EXIT_USAGE, &["\"nowhere\""]);
    let wait = ["1", "--platform", "127.0.0.1:1", "--wait"];
    check(&[&based_on[..], &wait].concat(), EXIT_USAGE, &["--wait needs at least one --host"]);
}

#[test]
fn of_two_concurrent_applies_one_succeeds_and_the_other_reports_the_changes() {
    let platform = start_platform();
    let apply = |document: &str, based_on: &str| {
        spawn(&["apply", document, "--based-on", based_on, "--platform", &platform])
    };
    let (code, _) = finish(apply(&example("signage.yaml"), "0"));
    assert_eq!(code, EXIT_OK);

    let documents =
        [signage_with_slots("racing-19.yaml", 19), signage_with_slots("racing-20.yaml", 20)];
    let children = documents.each_ref().map(|d| apply(d, "1"));
    let mut results = children.map(finish);
    results.sort();

    let [(winner, accepted), (loser, rejected)] = results;
    assert_eq!((winner, loser), (EXIT_OK, EXIT_FAILURE), "{accepted} {rejected}");
    assert!(accepted.contains("accepted as version 2"), "{accepted}");
    assert!(rejected.contains("version 2 is in force now, not 1"), "{rejected}");
    assert!(rejected.contains("changed since version 1:"), "{rejected}");
    assert!(rejected.contains("service playlists: slots 18 -> "), "{rejected}");
}

#[test]
fn apply_reports_what_is_in_force_if_the_base_version_is_not() {
    let platform = start_platform();
    let first = example("signage.yaml");
    let second = signage_with_slots("second.yaml", 21);
    let check = |document: &str, based_on: &str, code, texts: &[&str]| {
        let args = ["apply", document, "--based-on", based_on, "--platform", &platform];
        check(&args, code, texts);
    };
    check(&first, "3", EXIT_FAILURE, &["no version is in force yet"]);
    check(&first, "0", EXIT_OK, &["accepted as version 1"]);
    // The same command again, as after a lost response.
    check(&first, "0", EXIT_OK, &["accepted as version 1"]);
    check(
        &second,
        "0",
        EXIT_FAILURE,
        &["version 1 is in force now, not 0", "service playlists: added"],
    );
    check(&second, "3", EXIT_FAILURE, &["version 3 was never accepted; version 1 is in force"]);
    check(&second, "1", EXIT_OK, &["accepted as version 2"]);
    let text = std::fs::read_to_string(&first).expect("the example");
    let moved = write_document("moved.yaml", &text.replace("partitions: 192", "partitions: 256"));
    check(&moved, "2", EXIT_FAILURE, &["services.playlists.partitions: found 256, expected 192"]);
}

#[test]
fn apply_waits_until_the_version_is_in_force_on_every_given_host() {
    let platform = start_platform();
    let document = example("signage.yaml");
    let apply = ["apply", &document, "--based-on", "0", "--platform", &platform, "--wait"];
    let (slow, newer, behind) = (start_host(&[0, 0, 1]), start_host(&[7]), start_host(&[0]));
    let named = ["--host", &slow, "--host", &newer];
    check(
        &[&apply[..], &named].concat(),
        EXIT_OK,
        &[
            "accepted as version 1",
            &format!("cell playlists/0: version 1 is in force on {slow} after "),
            "cell playlists/0: version 1 is in force on all 2 hosts that were named",
        ],
    );
    let named = ["--host", &newer, "--host", &behind, "--wait-limit", "0"];
    check(
        &[&apply[..], &named].concat(),
        EXIT_FAILURE,
        &["not known to be in force everywhere", &format!("{behind} runs version 0")],
    );
}

/// Guards against a comparison with another version than the one in force.
#[test]
fn check_reports_the_differences_from_the_version_in_force() {
    let platform = start_platform();
    let first = example("signage.yaml");
    let second = signage_with_slots("in-force-22.yaml", 22);
    let against = |document: &str, text: &str| {
        check(&["check", document, "--platform", &platform], EXIT_OK, &[text]);
    };
    against(&first, "no version is in force to compare with");
    for (document, based_on) in [(&first, "0"), (&second, "1")] {
        let args = ["apply", document, "--based-on", based_on, "--platform", &platform];
        check(&args, EXIT_OK, &["accepted as version"]);
    }
    against(&first, "services[1].slots: slots 22 -> 18");
}
