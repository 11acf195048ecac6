//! Placement of key ranges on hosts: the initial map, reassignment after a host was lost,
//! rebalancing when hosts join, and moving load off an overloaded owner.
//!
//! - Hot regions of adjacent keys: the initial map assigns ranges round-robin.
//! - Lost hosts: each of their ranges goes to the owner of an adjacent range, which keeps the
//!   number of separate ranges per owner constant.
//! - Hot keys and backend servers of different speed: the hottest ranges of an overloaded owner
//!   move to hosts with free capacity, split if they are too hot for one host.

use model::{HostAddr, derive_common};

use crate::key_request_counts::BUCKET_KEYS;
use crate::{KeyMap, KeyRange, KeyRequestCounts, MAX_KEY};

/// The maximum number of ranges per owner in the initial map. The list of grants in a heartbeat
/// reply is limited to 4 KiB, about 180 ranges, and must still fit after half of the owners are
/// lost.
const RANGES_PER_OWNER: u32 = 88;

/// A host with at least this many ranges is assigned no more: about 180 fit into a heartbeat reply,
/// and the ranges taken over from a lost host must still fit.
const MAX_RANGES: usize = 130;

/// The length of the shortest ranges in the initial map, in keys. Short enough that a hot region of
/// 200 adjacent keys is spread over several owners.
const MIN_RANGE_KEYS: u32 = 64;

/// An owner sheds keys above this utilization, because backend servers slow down when nearly full.
const SHED_UTILIZATION: f64 = 0.7;

/// An owner sheds keys only if its utilization is above the mean of all hosts by this much. A
/// smaller gap would move keys back and forth.
const SHED_MIN_GAP: f64 = 0.15;

/// The planned utilization of a recipient stays below this.
const RECIPIENT_UTILIZATION: f64 = 0.75;

/// The smallest excess load for which keys are moved, as a fraction of the owner's capacity: moving
/// keys are not served for about a second.
const MIN_EXCESS: f64 = 0.04;

/// The maximum number of ranges that move at once, so that loads are measured in between.
const MAX_MOVES: usize = 24;

derive_common! {
    value
    /// A host of the service that holds a lease.
    pub struct Member {
        /// The address.
        pub host: HostAddr,
        /// Whether it may be assigned keys.
        pub accepts_keys: bool,
        /// The number of occupied slots, in hundredths.
        pub load: u32,
        /// The number of slots, in hundredths, adjusted for speed.
        pub capacity: u32,
        /// The number of ranges it owns.
        pub ranges: usize,
    }
}

impl Member {
    fn utilization(self) -> f64 {
        f64::from(self.load) / f64::from(self.capacity.max(1))
    }
}

/// Assigns all keys to `hosts` round-robin. Returns `None` if `hosts` is empty.
pub fn initial_map(hosts: &[HostAddr]) -> Option<KeyMap> {
    let count = u32::try_from(hosts.len()).ok().filter(|&n| n > 0)?;
    let keys = u32::from(MAX_KEY) + 1;
    let mut length = MIN_RANGE_KEYS;
    while keys / (length * count) > RANGES_PER_OWNER {
        length *= 2;
    }
    let mut map = KeyMap::default();
    let fence = map.allocate_fence();
    for (i, from) in (0..keys).step_by(length as usize).enumerate() {
        let to = u16::try_from(from + length - 1).unwrap_or(MAX_KEY);
        let from = u16::try_from(from).unwrap_or(MAX_KEY);
        let owner = hosts[i % hosts.len()];
        map.ranges.push(KeyRange {
            from,
            to,
            owner,
            fence,
            handover: String::new(),
            next_owner: None,
        });
    }
    Some(map)
}

/// Reassigns the keys of `lost` hosts to the owners of adjacent ranges, if these are among
/// `recipients`, or else to any recipient. Returns `None` if there is nothing to reassign or nobody
/// to take it.
pub fn evict(map: &KeyMap, lost: &[HostAddr], recipients: &[HostAddr]) -> Option<KeyMap> {
    if recipients.is_empty() || !map.ranges.iter().any(|r| lost.contains(&r.owner)) {
        return None;
    }
    let mut map = map.clone();
    let fence = map.allocate_fence();
    let mut reassigned = 0;
    for i in 0..map.ranges.len() {
        if map.ranges[i].next_owner.is_some_and(|n| lost.contains(&n)) {
            map.ranges[i].next_owner = None;
        }
        if !lost.contains(&map.ranges[i].owner) {
            continue;
        }
        let before = i.checked_sub(1).map(|b| map.ranges[b].owner);
        let after = map.ranges.get(i + 1).map(|r| r.owner);
        reassigned += 1;
        let adjacent = if reassigned % 2 == 0 { [before, after] } else { [after, before] };
        let adjacent = adjacent.into_iter().flatten().find(|h| recipients.contains(h));
        let owner = adjacent.unwrap_or(recipients[reassigned % recipients.len()]);
        let range = &mut map.ranges[i];
        *range =
            KeyRange { owner, fence, handover: String::new(), next_owner: None, ..range.clone() };
    }
    Some(map)
}

/// Asks the owners to hand some ranges over to members that own no keys yet. Returns `None` if
/// there are no such members, or if moves are in progress.
pub fn rebalance(map: &KeyMap, members: &[Member]) -> Option<KeyMap> {
    if map.ranges.iter().any(|r| r.next_owner.is_some()) {
        return None;
    }
    let recipients: Vec<HostAddr> =
        members.iter().filter(|m| m.accepts_keys).map(|m| m.host).collect();
    let owns = |h: HostAddr| map.ranges.iter().any(|r| r.owner == h);
    let newcomers: Vec<HostAddr> = recipients.iter().copied().filter(|&h| !owns(h)).collect();
    (!newcomers.is_empty()).then(|| hand_over_to(map, &newcomers, recipients.len()))
}

fn hand_over_to(map: &KeyMap, newcomers: &[HostAddr], host_count: usize) -> KeyMap {
    let mut map = map.clone();
    // Every owner hands over the same fraction of its ranges, so that no region of adjacent keys
    // moves as a whole. Each owner has a counter of its ranges, and the counters start at different
    // values.
    let mut counters: Vec<(HostAddr, usize)> = Vec::new();
    let mut handed_over = 0;
    for range in &mut map.ranges {
        let at = match counters.iter().position(|(h, _)| *h == range.owner) {
            Some(at) => at,
            None => {
                counters.push((range.owner, handed_over));
                counters.len() - 1
            }
        };
        counters[at].1 += 1;
        if counters[at].1 % host_count.max(1) < newcomers.len() {
            range.next_owner = Some(newcomers[handed_over % newcomers.len()]);
            handed_over += 1;
        }
    }
    map
}

/// A range of keys that moves from its owner to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyMove {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The host that it moves to.
    pub target: HostAddr,
}

struct Recipient {
    host: HostAddr,
    load: f64,
    capacity: f64,
    ranges: usize,
}

impl Recipient {
    /// Returns the load that may still be added.
    fn headroom(&self) -> f64 {
        self.capacity * RECIPIENT_UTILIZATION - self.load
    }
}

/// Picks the ranges of `own` that an overloaded owner moves to other hosts. The owner's load is
/// attributed to keys in proportion to `request_counts`.
pub fn shed(
    me: Member,
    own: &[KeyRange],
    others: &[Member],
    request_counts: &KeyRequestCounts,
) -> Vec<KeyMove> {
    let recipients =
        others.iter().filter(|m| m.accepts_keys && m.host != me.host && m.capacity > 0);
    let mut recipients: Vec<Recipient> = recipients
        .map(|m| Recipient {
            host: m.host,
            load: f64::from(m.load),
            capacity: f64::from(m.capacity),
            ranges: m.ranges,
        })
        .collect();
    let capacity = f64::from(me.capacity.max(1));
    let total_load: f64 = recipients.iter().map(|r| r.load).sum::<f64>() + f64::from(me.load);
    let total_capacity: f64 = recipients.iter().map(|r| r.capacity).sum::<f64>() + capacity;
    let mean = total_load / total_capacity;
    if me.utilization() < SHED_UTILIZATION || me.utilization() < mean + SHED_MIN_GAP {
        return Vec::new();
    }
    let load_per_request = f64::from(me.load) / request_counts.total().max(1e-9);
    let load = |from, to| request_counts.in_range(from, to) * load_per_request;
    let mut excess = (me.utilization() - mean) * capacity;
    let mut ranges: Vec<(u16, u16, f64)> =
        own.iter().map(|r| (r.from, r.to, load(r.from, r.to))).collect();
    let mut moves = Vec::new();
    while excess > MIN_EXCESS * capacity && moves.len() < MAX_MOVES {
        // Starting with the hottest range moves the fewest keys.
        let Some(at) = (0..ranges.len()).max_by(|a, b| ranges[*a].2.total_cmp(&ranges[*b].2))
        else {
            break;
        };
        let (from, to, range_load) = ranges.swap_remove(at);
        if range_load <= 0.0 {
            break;
        }
        let eligible = recipients.iter_mut().filter(|r| r.ranges < MAX_RANGES);
        let Some(recipient) = eligible.max_by(|a, b| a.headroom().total_cmp(&b.headroom())) else {
            break;
        };
        if range_load <= excess && range_load <= recipient.headroom() {
            recipient.load += range_load;
            recipient.ranges += 1;
            excess -= range_load;
            moves.push(KeyMove { from, to, target: recipient.host });
        } else if to - from >= 2 * BUCKET_KEYS - 1 {
            let middle = from + (to - from) / 2;
            ranges.push((from, middle, load(from, middle)));
            ranges.push((middle + 1, to, load(middle + 1, to)));
        }
    }
    moves.sort_by_key(|m| m.from);
    moves
}
