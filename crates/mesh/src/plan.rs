//! Which host gets which keys: at the start, after a loss, and when hosts come or are overloaded.
//!
//! Answers busy neighbourhoods (runs are dealt in turn), lost hosts (a neighbour takes each run, so
//! the number of ranges per owner stays) and uneven speeds (runs move towards free room).

use model::{HostAddr, derive_common};

use crate::{KeyMap, MAX_KEY, Run};

/// The most ranges that an owner gets at the start. A grant is told in at most 4 KiB, which holds
/// about 180 ranges; losses of half of the owners must still fit.
const RANGES_PER_OWNER: u32 = 88;

/// The shortest run, in keys: short enough that 200 busy neighbours meet several owners.
const SHORTEST_RUN: u32 = 64;

/// Work in hundredths of a slot per unit of room above which an owner counts as overloaded.
const OVERLOADED: f64 = 0.75;

/// An owner gives up keys only to one whose load per room is lower by this much; less churns.
const GAP: f64 = 0.35;

/// The part of an owner's runs that moves in one step, so that loads are measured in between.
const STEP: usize = 4;

derive_common! {
    value
    /// A host that may own keys.
    pub struct Member {
        /// The host.
        pub host: HostAddr,
        /// Whether it may be given keys.
        pub takes_keys: bool,
        /// Occupied slots in hundredths.
        pub load: u32,
        /// Slots in hundredths, corrected by speed.
        pub room: u32,
    }
}

impl Member {
    fn pressure(self) -> f64 {
        f64::from(self.load) / f64::from(self.room.max(1))
    }
}

/// Deals all keys to `hosts` in turn. Returns `None` if there are none.
pub fn first_map(hosts: &[HostAddr]) -> Option<KeyMap> {
    let count = u32::try_from(hosts.len()).ok().filter(|&n| n > 0)?;
    let keys = u32::from(MAX_KEY) + 1;
    let mut length = SHORTEST_RUN;
    while keys / (length * count) > RANGES_PER_OWNER {
        length *= 2;
    }
    let mut map = KeyMap { top: Default::default(), runs: Vec::new() };
    let fence = map.draw_fence();
    for (i, from) in (0..keys).step_by(length as usize).enumerate() {
        let to = u16::try_from(from + length - 1).unwrap_or(MAX_KEY);
        let from = u16::try_from(from).unwrap_or(MAX_KEY);
        let owner = hosts[i % hosts.len()];
        map.runs.push(Run { from, to, owner, fence, handover: String::new(), next: None });
    }
    Some(map)
}

/// Gives the keys of `gone` to the owners next to them that are in `takers`.
pub fn evict(map: &KeyMap, gone: &[HostAddr], takers: &[HostAddr]) -> Option<KeyMap> {
    if takers.is_empty() || !map.runs.iter().any(|r| gone.contains(&r.owner)) {
        return None;
    }
    let mut map = map.clone();
    let fence = map.draw_fence();
    let mut turn = 0;
    for i in 0..map.runs.len() {
        if map.runs[i].next.is_some_and(|n| gone.contains(&n)) {
            map.runs[i].next = None;
        }
        if !gone.contains(&map.runs[i].owner) {
            continue;
        }
        let before = i.checked_sub(1).map(|b| map.runs[b].owner);
        let after = map.runs.get(i + 1).map(|r| r.owner);
        turn += 1;
        let near = if turn % 2 == 0 { [before, after] } else { [after, before] };
        let near = near.into_iter().flatten().find(|h| takers.contains(h));
        let owner = near.unwrap_or(takers[turn % takers.len()]);
        let run = &mut map.runs[i];
        *run = Run { owner, fence, handover: String::new(), next: None, ..run.clone() };
    }
    Some(map)
}

/// Asks owners to release some runs: to members without keys first, then from the most to the
/// least loaded. Returns `None` if nothing is worth a move, or moves are under way.
pub fn rebalance(map: &KeyMap, members: &[Member]) -> Option<KeyMap> {
    if map.runs.iter().any(|r| r.next.is_some()) {
        return None;
    }
    let takers: Vec<Member> = members.iter().copied().filter(|m| m.takes_keys).collect();
    let owns = |h: HostAddr| map.runs.iter().any(|r| r.owner == h);
    let newcomers: Vec<HostAddr> = takers.iter().map(|m| m.host).filter(|&h| !owns(h)).collect();
    if !newcomers.is_empty() {
        return Some(share_with(map, &newcomers, takers.len()));
    }
    relieve(map, &takers)
}

fn share_with(map: &KeyMap, newcomers: &[HostAddr], all: usize) -> KeyMap {
    let mut map = map.clone();
    // Every owner gives the same part of its runs, so that no neighbourhood is emptied.
    let mut passed: Vec<(HostAddr, usize)> = Vec::new();
    let mut turn = 0;
    for run in &mut map.runs {
        let at = match passed.iter().position(|(h, _)| *h == run.owner) {
            Some(at) => at,
            None => {
                passed.push((run.owner, turn));
                passed.len() - 1
            }
        };
        passed[at].1 += 1;
        if passed[at].1 % all.max(1) < newcomers.len() {
            run.next = Some(newcomers[turn % newcomers.len()]);
            turn += 1;
        }
    }
    map
}

fn relieve(map: &KeyMap, takers: &[Member]) -> Option<KeyMap> {
    let by_pressure = |a: &&Member, b: &&Member| a.pressure().total_cmp(&b.pressure());
    let most = takers.iter().max_by(by_pressure)?;
    let least = takers.iter().min_by(by_pressure)?;
    if most.pressure() < OVERLOADED || most.pressure() - least.pressure() < GAP {
        return None;
    }
    let mut map = map.clone();
    let mut count = 0;
    for run in map.runs.iter_mut().filter(|r| r.owner == most.host) {
        count += 1;
        if count % STEP == 0 {
            run.next = Some(least.host);
        }
    }
    (count >= STEP).then_some(map)
}
