//! How much room a client asks for before it reads a response.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use http1::{BodyError, BodyRoom, read_body_with_room};
use hyper::body::{Body, Frame};

const MAX_BYTES: usize = 1_000;

/// Room of which nothing is freed.
struct Room {
    left: usize,
    asked: Vec<usize>,
}

impl BodyRoom for Room {
    async fn reserve(&mut self, bytes: usize) -> bool {
        self.asked.push(bytes);
        let fits = bytes <= self.left;
        self.left = self.left.saturating_sub(bytes);
        fits
    }
}

/// Returns a body of unknown length in frames of these lengths.
fn frames(lengths: &[usize]) -> impl Body<Data = Bytes, Error = std::convert::Infallible> + use<> {
    let frames: Vec<_> =
        lengths.iter().map(|n| Ok(Frame::data(Bytes::from(vec![b'x'; *n])))).collect();
    StreamBody::new(stream::iter(frames))
}

/// Guards against a response that is buffered without room for it, and against bodies of known
/// length that each wait with part of the room.
#[actix_rt::test]
async fn a_body_is_read_only_as_far_as_there_is_room() {
    let known = |n: usize| Full::new(Bytes::from(vec![b'x'; n])).boxed_unsync();
    let unknown = |lengths: &[usize]| frames(lengths).boxed_unsync();
    let cases = [
        ("known length", known(600), 600, &[600][..], Ok(600)),
        ("no room for it", known(600), 599, &[600], Err("no room")),
        ("empty", known(0), 0, &[], Ok(0)),
        ("longer than allowed", known(1_001), 2_000, &[], Err("too long")),
        ("unknown length", unknown(&[100, 50, 60]), 1_000, &[100, 100, 200], Ok(210)),
        ("up to the limit", unknown(&[600, 300]), 1_000, &[600, 400], Ok(900)),
        ("no room for more", unknown(&[100, 50]), 150, &[100, 100], Err("no room")),
        ("beyond the limit", unknown(&[600, 401]), 2_000, &[600], Err("too long")),
    ];
    for (name, body, left, asked, expected) in cases {
        let mut room = Room { left, asked: Vec::new() };

        let read = read_body_with_room(body, MAX_BYTES, &mut room).await;

        let read = read.map(|bytes| bytes.len()).map_err(|e| match e {
            BodyError::NoRoom => "no room",
            BodyError::TooLong { .. } => "too long",
            BodyError::Incomplete { .. } => "incomplete",
        });
        assert_eq!((read, &room.asked[..]), (expected, asked), "{name}");
    }
}
