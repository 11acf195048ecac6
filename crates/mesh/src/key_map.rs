//! The key map of a service, which assigns every key to an owning host. It is a single row in the
//! store that all hosts of the service modify.
//!
//! Keys are numbers and hot keys are often adjacent. The map is therefore a list of short ranges
//! that are assigned to the owners round-robin, so a hot region is spread over several owners from
//! the start. Adjacent ranges with the same owner are not merged, so they can be spread again
//! later.

use model::{Fence, HostAddr, derive_common};
use snafu::{ResultExt, Snafu, ensure};

use crate::compression::{compress, decompress};

/// The largest key.
pub const MAX_KEY: u16 = u16::MAX;

/// The maximum size of a decompressed map, in bytes: enough for 2,048 ranges with a handover token
/// each.
const MAX_MAP_BYTES: u64 = 1 << 18;

/// How far fences are raised with each era of the store: more than can be allocated in the seconds
/// that are lost when the store comes back from a copy.
const FENCES_PER_ERA: u64 = 1 << 20;

derive_common! {
    data
    /// A range of keys with one owner; both ends are included.
    pub struct KeyRange {
        /// The first key.
        pub from: u16,
        /// The last key.
        pub to: u16,
        /// The host whose backend server owns the keys.
        pub owner: HostAddr,
        /// The fence under which the keys are granted to the backend server.
        pub fence: Fence,
        /// The handover token that the last holder left for the next one; empty if there is none.
        pub handover: String,
        /// The host that the owner has been asked to hand the keys over to.
        pub next_owner: Option<HostAddr>,
    }
}

derive_common! {
    data
    /// The owners of all keys of a service.
    #[derive(Default)]
    pub struct KeyMap {
        /// The highest fence allocated so far.
        pub last_fence: Fence,
        /// Ranges in ascending order that cover every key.
        pub ranges: Vec<KeyRange>,
        /// The era of the store in which the map was last written.
        pub era: u64,
        /// The highest fence of former eras.
        pub former_fences: Fence,
        /// Whether all grants of former eras have ended.
        pub settled: bool,
    }
}

/// An error while decoding a key map.
#[derive(Debug, Snafu)]
pub enum KeyMapError {
    /// The bytes can't be decompressed.
    #[snafu(display("failed to decompress the key map: {source}"))]
    Decompress {
        /// The underlying error.
        source: std::io::Error,
    },
    /// The decompressed bytes are not an encoded map.
    #[snafu(display("failed to decode the key map: {source}"))]
    Decode {
        /// The underlying error.
        source: bincode::error::DecodeError,
    },
    /// The ranges don't cover exactly all keys, or refer to a host that is not in the host list.
    #[snafu(display(
        "the ranges of the key map don't cover every key exactly once, or name an unknown host"
    ))]
    Coverage,
}

#[derive(bincode::Encode, bincode::Decode)]
struct WireRange {
    length_minus_one: u16,
    /// The index of the owner in `WireMap::hosts`.
    owner: u16,
    /// How far the fence is below `WireMap::last_fence`.
    below_last_fence: u64,
    handover: String,
    /// The index of the next owner in `WireMap::hosts`.
    next_owner: Option<u16>,
}

/// The end of the row, which earlier releases neither write nor read.
#[derive(Default, bincode::Encode, bincode::Decode)]
struct WireMapExtension {
    era: u64,
    former_fences: u64,
    settled: bool,
}

#[derive(bincode::Encode, bincode::Decode)]
struct WireMap {
    last_fence: u64,
    hosts: Vec<std::net::SocketAddr>,
    ranges: Vec<WireRange>,
}

impl KeyMap {
    /// Returns the range that contains `key`.
    pub fn range_of(&self, key: u16) -> &KeyRange {
        let after = self.ranges.partition_point(|r| r.from <= key);
        &self.ranges[after.saturating_sub(1)]
    }

    /// Iterates over the ranges of `owner`.
    pub fn owned_by(&self, owner: HostAddr) -> impl Iterator<Item = &KeyRange> {
        self.ranges.iter().filter(move |r| r.owner == owner)
    }

    /// Returns all hosts that own keys, sorted.
    pub fn owners(&self) -> Vec<HostAddr> {
        let mut owners: Vec<_> = self.ranges.iter().map(|r| r.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Splits the range that contains `key`, unless it already starts there.
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

    /// Allocates the next fence.
    pub fn allocate_fence(&mut self) -> Fence {
        self.last_fence = Fence(self.last_fence.0 + 1);
        self.last_fence
    }

    /// Prepares the map for a write in an era of the store: raises the last fence above all that were
    /// used in former eras.
    pub fn enter_era(&mut self, era: u64) {
        if era > self.era {
            self.last_fence.0 += (era - self.era) * FENCES_PER_ERA;
            (self.era, self.former_fences, self.settled) = (era, self.last_fence, false);
        }
    }

    /// Returns the initial map as written in `era`: nothing in it was granted in a former one.
    #[must_use]
    pub fn first_of_era(mut self, era: u64) -> Self {
        if era > self.era {
            self.enter_era(era);
            let fence = self.allocate_fence();
            self.ranges.iter_mut().for_each(|r| r.fence = fence);
            self.settled = true;
        }
        self
    }

    /// Returns whether the fence of a range was allocated in `era`, so that no host holds it by a
    /// grant of a former one.
    pub fn is_claimed(&self, range: &KeyRange, era: u64) -> bool {
        self.era >= era && range.fence > self.former_fences || era == 0
    }

    /// Encodes the map as the bytes of its row.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireMap::from(self);
        let config = bincode::config::standard();
        // Encoding plain data into memory can't fail; if it did, every reader would reject the
        // empty row.
        let mut plain = bincode::encode_to_vec(wire, config).unwrap_or_default();
        if self.era > 0 {
            let extension = WireMapExtension {
                era: self.era,
                former_fences: self.former_fences.0,
                settled: self.settled,
            };
            plain.extend(bincode::encode_to_vec(extension, config).unwrap_or_default());
        }
        compress(&plain)
    }

    /// Decodes the bytes of the row.
    pub fn decode(bytes: &[u8]) -> Result<Self, KeyMapError> {
        let plain = decompress(bytes, MAX_MAP_BYTES).context(DecompressSnafu)?;
        let config = bincode::config::standard().with_limit::<{ MAX_MAP_BYTES as usize }>();
        let (wire, read): (WireMap, usize) =
            bincode::decode_from_slice(&plain, config).context(DecodeSnafu)?;
        let extension = match &plain[read..] {
            [] => WireMapExtension::default(),
            rest => bincode::decode_from_slice(rest, config).context(DecodeSnafu)?.0,
        };
        let WireMapExtension { era, former_fences, settled } = extension;
        let map = Self::try_from(wire)?;
        Ok(Self { era, former_fences: Fence(former_fences), settled, ..map })
    }
}

/// Returns the index of `item` in `list`, to which it is added if missing.
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
        let ranges = map.ranges.iter().map(|r| WireRange {
            length_minus_one: r.to - r.from,
            owner: index_of(&mut hosts, &r.owner.0),
            below_last_fence: map.last_fence.0 - r.fence.0.min(map.last_fence.0),
            handover: r.handover.clone(),
            next_owner: r.next_owner.map(|n| index_of(&mut hosts, &n.0)),
        });
        let ranges = ranges.collect();
        Self { last_fence: map.last_fence.0, hosts, ranges }
    }
}

impl TryFrom<WireMap> for KeyMap {
    type Error = KeyMapError;

    fn try_from(wire: WireMap) -> Result<Self, KeyMapError> {
        let host = |i: u16| wire.hosts.get(usize::from(i)).copied().map(HostAddr);
        let mut ranges = Vec::with_capacity(wire.ranges.len());
        let mut from = 0_u32;
        for r in &wire.ranges {
            let to = from + u32::from(r.length_minus_one);
            ensure!(to <= u32::from(MAX_KEY), CoverageSnafu);
            let owner = host(r.owner);
            let next_owner = match r.next_owner {
                None => Some(None),
                Some(i) => host(i).map(Some),
            };
            let (Some(owner), Some(next_owner)) = (owner, next_owner) else {
                return CoverageSnafu.fail();
            };
            ranges.push(KeyRange {
                from: u16::try_from(from).unwrap_or(MAX_KEY),
                to: u16::try_from(to).unwrap_or(MAX_KEY),
                owner,
                fence: Fence(wire.last_fence.saturating_sub(r.below_last_fence)),
                handover: r.handover.clone(),
                next_owner,
            });
            from = to + 1;
        }
        ensure!(from == u32::from(MAX_KEY) + 1, CoverageSnafu);
        Ok(Self { last_fence: Fence(wire.last_fence), ranges, ..Self::default() })
    }
}
