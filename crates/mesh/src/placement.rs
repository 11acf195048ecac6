//! Which host gets which keys: at the start, after a loss, when hosts come, and when an owner has
//! more work than room.
//!
//! Answers busy neighbourhoods (runs are dealt in turn), lost hosts (a neighbour takes each run, so
//! the number of ranges per owner stays), and hot keys and uneven speeds (the busiest runs of an
//! overloaded owner move to free room, split if they are too hot for one).

use model::{HostAddr, derive_common};

use crate::key_request_counts::BUCKET_KEYS;
use crate::{KeyMap, KeyRange, KeyRequestCounts, MAX_KEY};

/// The most ranges that an owner gets at the start. A grant is told in at most 4 KiB, which holds
/// about 180 ranges; losses of half of the owners must still fit.
const RANGES_PER_OWNER: u32 = 88;

/// A host with more ranges than this is given no more: about 180 fit into a grant, and those of a
/// lost neighbour must still fit.
const MOST_RANGES: usize = 130;

/// The shortest run of the first map, in keys: short enough that 200 busy neighbours meet several owners.
const SHORTEST_RUN: u32 = 64;

/// An owner sheds keys above this load per room; servers slow down when nearly full.
const OVERLOADED: f64 = 0.7;

/// An owner sheds only what it has above the mean of all by this much; less would churn.
const GAP: f64 = 0.15;

/// A taker's load per room stays below this in the plan.
const FILL: f64 = 0.75;

/// The least load that is worth a move, as a part of the room: the keys rest for about a second.
const LEAST_GAIN: f64 = 0.04;

/// The most pieces that move at once, so that loads are measured in between.
const MAX_PIECES: usize = 24;

derive_common! {
    value
    /// A host that may own keys.
    pub struct Member {
        /// The host.
        pub host: HostAddr,
        /// Whether it may be given keys.
        pub accepts_keys: bool,
        /// Occupied slots in hundredths.
        pub load: u32,
        /// Slots in hundredths, corrected by speed.
        pub capacity: u32,
        /// How many ranges it owns.
        pub ranges: usize,
    }
}

impl Member {
    fn pressure(self) -> f64 {
        f64::from(self.load) / f64::from(self.capacity.max(1))
    }
}

/// Deals all keys to `hosts` in turn. Returns `None` if there are none.
pub fn initial_map(hosts: &[HostAddr]) -> Option<KeyMap> {
    let count = u32::try_from(hosts.len()).ok().filter(|&n| n > 0)?;
    let keys = u32::from(MAX_KEY) + 1;
    let mut length = SHORTEST_RUN;
    while keys / (length * count) > RANGES_PER_OWNER {
        length *= 2;
    }
    let mut map = KeyMap { last_fence: Default::default(), ranges: Vec::new() };
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

/// Gives the keys of `gone` to the owners next to them that are in `takers`.
pub fn evict(map: &KeyMap, gone: &[HostAddr], takers: &[HostAddr]) -> Option<KeyMap> {
    if takers.is_empty() || !map.ranges.iter().any(|r| gone.contains(&r.owner)) {
        return None;
    }
    let mut map = map.clone();
    let fence = map.allocate_fence();
    let mut turn = 0;
    for i in 0..map.ranges.len() {
        if map.ranges[i].next_owner.is_some_and(|n| gone.contains(&n)) {
            map.ranges[i].next_owner = None;
        }
        if !gone.contains(&map.ranges[i].owner) {
            continue;
        }
        let before = i.checked_sub(1).map(|b| map.ranges[b].owner);
        let after = map.ranges.get(i + 1).map(|r| r.owner);
        turn += 1;
        let near = if turn % 2 == 0 { [before, after] } else { [after, before] };
        let near = near.into_iter().flatten().find(|h| takers.contains(h));
        let owner = near.unwrap_or(takers[turn % takers.len()]);
        let run = &mut map.ranges[i];
        *run = KeyRange { owner, fence, handover: String::new(), next_owner: None, ..run.clone() };
    }
    Some(map)
}

/// Asks owners to release some runs to members without keys. Returns `None` if there are none, or
/// moves are under way.
pub fn rebalance(map: &KeyMap, members: &[Member]) -> Option<KeyMap> {
    if map.ranges.iter().any(|r| r.next_owner.is_some()) {
        return None;
    }
    let takers: Vec<HostAddr> = members.iter().filter(|m| m.accepts_keys).map(|m| m.host).collect();
    let owns = |h: HostAddr| map.ranges.iter().any(|r| r.owner == h);
    let newcomers: Vec<HostAddr> = takers.iter().copied().filter(|&h| !owns(h)).collect();
    (!newcomers.is_empty()).then(|| share_with(map, &newcomers, takers.len()))
}

fn share_with(map: &KeyMap, newcomers: &[HostAddr], all: usize) -> KeyMap {
    let mut map = map.clone();
    // Every owner gives the same part of its runs, so that no neighbourhood is emptied.
    let mut passed: Vec<(HostAddr, usize)> = Vec::new();
    let mut turn = 0;
    for run in &mut map.ranges {
        let at = match passed.iter().position(|(h, _)| *h == run.owner) {
            Some(at) => at,
            None => {
                passed.push((run.owner, turn));
                passed.len() - 1
            }
        };
        passed[at].1 += 1;
        if passed[at].1 % all.max(1) < newcomers.len() {
            run.next_owner = Some(newcomers[turn % newcomers.len()]);
            turn += 1;
        }
    }
    map
}

/// A range of keys that an owner gives to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyMove {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// Who gets it.
    pub target: HostAddr,
}

struct Taker {
    host: HostAddr,
    load: f64,
    room: f64,
    ranges: usize,
}

impl Taker {
    /// Returns the load that it may still take.
    fn free(&self) -> f64 {
        self.room * FILL - self.load
    }
}

/// Picks what an owner with more work than room gives away. `load` tells the occupied slots in
/// hundredths that a range causes, of keys as `demand` counts them.
pub fn shed(
    me: Member,
    own: &[KeyRange],
    others: &[Member],
    demand: &KeyRequestCounts,
) -> Vec<KeyMove> {
    let takers = others.iter().filter(|m| m.accepts_keys && m.host != me.host && m.capacity > 0);
    let mut takers: Vec<Taker> = takers
        .map(|m| Taker {
            host: m.host,
            load: f64::from(m.load),
            room: f64::from(m.capacity),
            ranges: m.ranges,
        })
        .collect();
    let room = f64::from(me.capacity.max(1));
    let all_load: f64 = takers.iter().map(|t| t.load).sum::<f64>() + f64::from(me.load);
    let all_room: f64 = takers.iter().map(|t| t.room).sum::<f64>() + room;
    let mean = all_load / all_room;
    if me.pressure() < OVERLOADED || me.pressure() < mean + GAP {
        return Vec::new();
    }
    let per_count = f64::from(me.load) / demand.total().max(1e-9);
    let load = |from, to| demand.in_range(from, to) * per_count;
    let mut excess = (me.pressure() - mean) * room;
    let mut runs: Vec<(u16, u16, f64)> =
        own.iter().map(|r| (r.from, r.to, load(r.from, r.to))).collect();
    let mut pieces = Vec::new();
    while excess > LEAST_GAIN * room && pieces.len() < MAX_PIECES {
        // The busiest first: the fewest keys move.
        let Some(at) = (0..runs.len()).max_by(|a, b| runs[*a].2.total_cmp(&runs[*b].2)) else {
            break;
        };
        let (from, to, work) = runs.swap_remove(at);
        if work <= 0.0 {
            break;
        }
        let open = takers.iter_mut().filter(|t| t.ranges < MOST_RANGES);
        let Some(taker) = open.max_by(|a, b| a.free().total_cmp(&b.free())) else {
            break;
        };
        if work <= excess && work <= taker.free() {
            taker.load += work;
            taker.ranges += 1;
            excess -= work;
            pieces.push(KeyMove { from, to, target: taker.host });
        } else if to - from >= 2 * BUCKET_KEYS - 1 {
            let middle = from + (to - from) / 2;
            runs.push((from, middle, load(from, middle)));
            runs.push((middle + 1, to, load(middle + 1, to)));
        }
    }
    pieces.sort_by_key(|p| p.from);
    pieces
}
