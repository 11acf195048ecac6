//! Lists of granted ranges: how long they may be, how they are merged, and how long a grant lasts.

use model::HostAddr;

use super::releases::Release;
use crate::ownership::types::Grant;
use crate::{KeyMap, KeyRange};

/// The maximum length of the encoded list of grants, in bytes. Backend servers ignore replies above
/// 4 KiB, which include the surrounding fields.
pub(super) const MAX_GRANTS_BYTES: usize = 3_900;

/// The clock of a backend server may run slow by one part in this many.
pub(super) const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Merges adjacent grants with the same fence and no handover token, to keep the list short.
pub(super) fn merge_adjacent(grants: &mut Vec<Grant>) {
    grants.dedup_by(|next, grant| {
        let adjacent = u32::from(grant.range.to) + 1 == u32::from(next.range.from);
        let compatible = grant.range.fence == next.range.fence
            && grant.handover.is_empty()
            && next.handover.is_empty();
        if adjacent && compatible {
            grant.range.to = next.range.to;
        }
        adjacent && compatible
    });
}

/// Returns the grants for all ranges of `owner`.
pub(super) fn own_grants(map: &KeyMap, owner: HostAddr) -> Vec<Grant> {
    let mut grants = map.owned_by(owner).map(Grant::from).collect();
    merge_adjacent(&mut grants);
    grants
}

/// Returns the parts of a range that are not being released.
pub(super) fn subtract_releases(range: &KeyRange, releases: &[Release]) -> Vec<KeyRange> {
    let mut left = vec![range.clone()];
    for r in releases {
        left = left.into_iter().flat_map(|range| subtract(range, r.from, r.to)).collect();
    }
    left
}

/// Returns the parts of a range outside of `from` to `to`.
pub(super) fn subtract(range: KeyRange, from: u16, to: u16) -> Vec<KeyRange> {
    if to < range.from || range.to < from {
        return vec![range];
    }
    let mut left = Vec::new();
    if range.from < from {
        left.push(KeyRange { to: from - 1, ..range.clone() });
    }
    if to < range.to {
        left.push(KeyRange { from: to + 1, ..range });
    }
    left
}

/// Returns the encoded length of a list of grants, in bytes.
pub(super) fn grants_len(grants: &[Grant]) -> usize {
    grants.iter().map(Grant::encoded_len).sum()
}
