//! Splits the request records of a partition into calls that each fit into a frame.

use model::{HandoverRecord, RecordOutcome};

use crate::{Call, Handover};

/// Target size of one call in bytes. A call exceeds it by at most one record, and so stays far
/// below the maximum frame size.
const CHUNK_BYTES: usize = 1024 * 1024;

/// Upper bound of the encoded size of a record without headers and body, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Upper bound of the bytes that the encoding adds to each header.
const HEADER_OVERHEAD_BYTES: usize = 16;

/// Returns the calls that hand over all records, at least one. The receiver merges them, and has
/// all records once every call has been answered with `Done`.
pub fn handover_calls(handover: Handover) -> Vec<Call> {
    let Handover { cell, partition, fence, complete_from, records } = handover;
    let call = |records| {
        Call::Handover(Handover { cell: cell.clone(), partition, fence, complete_from, records })
    };
    let mut calls = Vec::new();
    let (mut chunk, mut bytes) = (Vec::new(), 0);
    for record in records {
        bytes += encoded_bound(&record);
        chunk.push(record);
        if bytes >= CHUNK_BYTES {
            calls.push(call(std::mem::take(&mut chunk)));
            bytes = 0;
        }
    }
    if !chunk.is_empty() || calls.is_empty() {
        calls.push(call(chunk));
    }
    calls
}

/// Returns an upper bound of the encoded size of `record` in bytes.
fn encoded_bound(record: &HandoverRecord) -> usize {
    let RecordOutcome::Answered(response) = &record.outcome else { return RECORD_OVERHEAD_BYTES };
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    RECORD_OVERHEAD_BYTES + headers.sum::<usize>() + response.body.len()
}
