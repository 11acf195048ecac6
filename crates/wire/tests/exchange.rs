//! Calls and forwarded requests between a working client and server.

mod common;

use bytes::Bytes;
use common::{LONG, collect, config_call, echo, head, run};
use model::Outcome;
use wire::{Client, ClientSettings, Reply};

#[test]
fn a_call_receives_its_reply() {
    run(async {
        let server = echo();
        let client = Client::new(ClientSettings::default());

        let reply = client.call(server.addr(), config_call(), LONG).await;

        assert_eq!(reply.unwrap(), Reply::Done);
    });
}

#[test]
fn a_forwarded_request_receives_its_complete_response() {
    run(async {
        let server = echo();
        let client = Client::new(ClientSettings::default());
        for size in [0, 1, 16_384, 1_000_000] {
            let body = Bytes::from(vec![b'x'; size]);

            let outcome = client.forward(server.addr(), head(LONG), body.clone()).await;

            let Outcome::Ran((response, received)) = outcome else { panic!("not run") };
            assert_eq!(response.status, 200);
            assert_eq!(collect(received).await, Ok(body));
        }
        assert_eq!(client.connections(), 1);
    });
}
