//! Splits the records of a partition into calls that each fit in a frame.

use model::{HandoverRecord, RecordOutcome};

use crate::{Call, Handover};

/// The size up to which records are put into one call, in bytes. A call takes one more record
/// than that at most, which stays far below the largest frame.
const PIECE_BYTES: usize = 1024 * 1024;

/// An upper bound of the encoded size of a record without headers and body, in bytes.
const RECORD_BYTES: usize = 64;

/// An upper bound of what the encoding adds to each header, in bytes.
const HEADER_BYTES: usize = 16;

/// Returns the calls that hand over all records, at least one. The receiver merges them, and has
/// all records once every call was answered with `Done`.
pub fn handover_calls(handover: Handover) -> Vec<Call> {
    let Handover { cell, partition, fence, complete_from, records } = handover;
    let call = |records| {
        Call::Handover(Handover { cell: cell.clone(), partition, fence, complete_from, records })
    };
    let mut calls = Vec::new();
    let (mut piece, mut bytes) = (Vec::new(), 0);
    for record in records {
        bytes += encoded_bound(&record);
        piece.push(record);
        if bytes >= PIECE_BYTES {
            calls.push(call(std::mem::take(&mut piece)));
            bytes = 0;
        }
    }
    if !piece.is_empty() || calls.is_empty() {
        calls.push(call(piece));
    }
    calls
}

fn encoded_bound(record: &HandoverRecord) -> usize {
    let RecordOutcome::Answered(answer) = &record.outcome else { return RECORD_BYTES };
    let headers =
        answer.headers.iter().map(|(name, value)| name.len() + value.len() + HEADER_BYTES);
    RECORD_BYTES + headers.sum::<usize>() + answer.body.len()
}
