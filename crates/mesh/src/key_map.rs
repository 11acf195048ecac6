//! Which host owns which keys of a service: the one row that all hosts of the service change.
//!
//! Keys are numbers and busy ones lie together, so the map is a list of short runs that are dealt
//! to all owners in turn: a busy neighbourhood is shared by several owners without any move. Runs
//! keep their size also where neighbours have one owner, so that keys can be spread again.

use model::{Fence, HostAddr, derive_common};
use snafu::{ResultExt, Snafu, ensure};

use crate::compression::{compress, decompress};

/// The largest key.
pub const MAX_KEY: u16 = u16::MAX;

/// The largest map that is decoded, in bytes: 2,048 runs with a handover token each fit.
const MAX_MAP_BYTES: u64 = 1 << 18;

derive_common! {
    data
    /// A range of keys with one owner.
    pub struct KeyRange {
        /// The first key.
        pub from: u16,
        /// The last key.
        pub to: u16,
        /// The host whose backend server owns the keys.
        pub owner: HostAddr,
        /// The fence of the grant.
        pub fence: Fence,
        /// What the last holder gave for the next one; empty if there was nothing.
        pub handover: String,
        /// The host that the owner is asked to release the keys to.
        pub next_owner: Option<HostAddr>,
    }
}

derive_common! {
    data
    /// The owners of all keys of a service.
    pub struct KeyMap {
        /// The highest fence that was ever given.
        pub last_fence: Fence,
        /// Ranges in ascending order that cover every key.
        pub ranges: Vec<KeyRange>,
    }
}

/// Why bytes are not a key map.
#[derive(Debug, Snafu)]
pub enum KeyMapError {
    /// The bytes can't be inflated.
    #[snafu(display("not compressed data: {source}"))]
    Decompress {
        /// What the library says.
        source: std::io::Error,
    },
    /// The bytes are no map.
    #[snafu(display("not a key map: {source}"))]
    Decode {
        /// What the library says.
        source: bincode::error::DecodeError,
    },
    /// The runs leave a gap, overlap or don't cover all keys.
    #[snafu(display("the runs don't cover each key once"))]
    Coverage,
}

#[derive(bincode::Encode, bincode::Decode)]
struct WireRun {
    length: u16,
    owner: u16,
    below_top: u64,
    handover: String,
    next: Option<u16>,
}

#[derive(bincode::Encode, bincode::Decode)]
struct WireMap {
    top: u64,
    hosts: Vec<std::net::SocketAddr>,
    runs: Vec<WireRun>,
}

impl KeyMap {
    /// Finds the run of a key.
    pub fn range_of(&self, key: u16) -> &KeyRange {
        let after = self.ranges.partition_point(|r| r.from <= key);
        &self.ranges[after.saturating_sub(1)]
    }

    /// Returns the runs that `owner` owns.
    pub fn owned_by(&self, owner: HostAddr) -> impl Iterator<Item = &KeyRange> {
        self.ranges.iter().filter(move |r| r.owner == owner)
    }

    /// Returns the hosts that own keys, sorted.
    pub fn owners(&self) -> Vec<HostAddr> {
        let mut owners: Vec<_> = self.ranges.iter().map(|r| r.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Makes sure that a run starts at `key`.
    pub fn split_at(&mut self, key: u16) {
        let at = self.ranges.partition_point(|r| r.from <= key) - 1;
        if self.ranges[at].from == key {
            return;
        }
        let mut rest = self.ranges[at].clone();
        rest.from = key;
        self.ranges[at].to = key - 1;
        self.ranges.insert(at + 1, rest);
    }

    /// Takes the next fence.
    pub fn allocate_fence(&mut self) -> Fence {
        self.last_fence = Fence(self.last_fence.0 + 1);
        self.last_fence
    }

    /// Returns the bytes of the row.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireMap::from(self);
        let config = bincode::config::standard();
        // Encoding plain data into memory has no way to fail; an empty row would be refused by
        // the decoder of every reader.
        let plain = bincode::encode_to_vec(wire, config).unwrap_or_default();
        compress(&plain)
    }

    /// Reads the bytes of the row.
    pub fn decode(bytes: &[u8]) -> Result<Self, KeyMapError> {
        let plain = decompress(bytes, MAX_MAP_BYTES).context(DecompressSnafu)?;
        let config = bincode::config::standard().with_limit::<{ MAX_MAP_BYTES as usize }>();
        let (wire, _): (WireMap, usize) =
            bincode::decode_from_slice(&plain, config).context(DecodeSnafu)?;
        Self::try_from(wire)
    }
}

fn index_of<T: PartialEq + Clone>(list: &mut Vec<T>, item: &T) -> u16 {
    let at = list.iter().position(|i| i == item).unwrap_or_else(|| {
        list.push(item.clone());
        list.len() - 1
    });
    u16::try_from(at).unwrap_or(u16::MAX)
}

impl From<&KeyMap> for WireMap {
    fn from(map: &KeyMap) -> Self {
        let mut hosts = Vec::new();
        let runs = map.ranges.iter().map(|r| WireRun {
            length: r.to - r.from,
            owner: index_of(&mut hosts, &r.owner.0),
            below_top: map.last_fence.0 - r.fence.0.min(map.last_fence.0),
            handover: r.handover.clone(),
            next: r.next_owner.map(|n| index_of(&mut hosts, &n.0)),
        });
        let runs = runs.collect();
        Self { top: map.last_fence.0, hosts, runs }
    }
}

impl TryFrom<WireMap> for KeyMap {
    type Error = KeyMapError;

    fn try_from(wire: WireMap) -> Result<Self, KeyMapError> {
        let host = |i: u16| wire.hosts.get(usize::from(i)).copied().map(HostAddr);
        let mut runs = Vec::with_capacity(wire.runs.len());
        let mut from = 0_u32;
        for r in &wire.runs {
            let to = from + u32::from(r.length);
            ensure!(to <= u32::from(MAX_KEY), CoverageSnafu);
            let owner = host(r.owner);
            let next = match r.next {
                None => Some(None),
                Some(i) => host(i).map(Some),
            };
            let (Some(owner), Some(next)) = (owner, next) else {
                return CoverageSnafu.fail();
            };
            runs.push(KeyRange {
                from: u16::try_from(from).unwrap_or(MAX_KEY),
                to: u16::try_from(to).unwrap_or(MAX_KEY),
                owner,
                fence: Fence(wire.top.saturating_sub(r.below_top)),
                handover: r.handover.clone(),
                next_owner: next,
            });
            from = to + 1;
        }
        ensure!(from == u32::from(MAX_KEY) + 1, CoverageSnafu);
        Ok(Self { last_fence: Fence(wire.top), ranges: runs })
    }
}
