//! Whether a request that failed can have reached its receiver.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether a failed request certainly never left this process.
///
/// awc reports a connection that ended before the answer as `Connect(Disconnected)`, although the
/// request was sent; so only the connect errors from before the first byte count.
pub fn nothing_was_sent(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Url(_)
            | SendRequestError::Connect(
                ConnectError::Resolver(_)
                    | ConnectError::NoRecords
                    | ConnectError::Unresolved
                    | ConnectError::Timeout
                    | ConnectError::Io(_),
            )
    )
}
