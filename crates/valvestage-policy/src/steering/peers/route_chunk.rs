//! Some of the routes of a configuration, as many as fit into one datagram.
//!
//! All balancers split the same configuration in the same way, and when a route is added or removed
//! only the chunks around it change. A chunk is identified by a digest of its contents, so any
//! balancer can send it, and one that the former configuration had need not be sent at all. Of a
//! configuration of 4,245 addresses in 63 chunks, a change of one route mostly takes two or three
//! datagrams.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use super::name_list::{NameIndex, index_of_name};
use super::peer_message::MAX_MESSAGE_BYTES;
use crate::steering::knowledge::cold_rate::ColdRate;
use crate::steering::knowledge::request_class::RequestClass;
use crate::steering::knowledge::route_map::{RouteMap, RouteTarget};

/// Maximum size of a chunk in the codec's encoding, in bytes. The rest of a datagram is for the
/// fields before it.
const MAX_CHUNK_BYTES: usize = MAX_MESSAGE_BYTES - 40;

/// A chunk of fewer bytes ends before an address only if the address does not fit into it.
const SMALL_CHUNK_BYTES: usize = MAX_CHUNK_BYTES / 3;

/// In a chunk of more bytes, the denser boundaries of [`LARGE_CHUNK_BOUNDARY_EVERY`] apply, so that
/// it ends soon.
const LARGE_CHUNK_BYTES: usize = MAX_CHUNK_BYTES * 2 / 3;

/// One address in this many begins a new chunk if the chunk before it is neither small nor large.
const BOUNDARY_EVERY: u64 = 64;

/// One address in this many begins a new chunk if the chunk before it is large. Nearly all
/// boundaries then depend on addresses rather than on sizes, and a route that is added moves few of
/// them.
const LARGE_CHUNK_BOUNDARY_EVERY: u64 = 8;

/// Maximum number of targets in one entry of a chunk, which fit into a datagram. An address with
/// more targets has several entries.
const MAX_ENTRY_TARGETS: usize = 40;

/// Maximum number of regions in one entry. Of more regions only the first by name are kept: a route
/// that allows more of them gets no flows in the others.
const MAX_ENTRY_REGIONS: usize = 16;

/// Bytes of the index of a class in an entry. A chunk has fewer than 128 entries, and no more
/// classes.
const CLASS_INDEX_BYTES: usize = 1;

/// Index of a request class in the list of a chunk.
pub type ClassIndex = u16;

/// Identifies a chunk by its contents: their SipHash-2-4, little-endian.
pub type ChunkDigest = [u8; 8];

/// Some of the routes of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChunk {
    /// Names of services and regions, which are referred to by index.
    pub names: Vec<String>,
    /// Request rates of cold backend servers, for those of these services that have one.
    pub cold_rates: Vec<(NameIndex, ColdRate)>,
    /// Maximum numbers of connections of a backend server, for those of these services that have
    /// one.
    pub connection_limits: Vec<(NameIndex, u32)>,
    /// Requirements of requests, which are referred to by index.
    pub classes: Vec<RequestClass>,
    /// Addresses in ascending order, each with some or all of its targets.
    pub entries: Vec<ChunkEntry>,
}

/// An address with some or all of its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkEntry {
    /// The address that callers send to.
    pub address: SocketAddrV4,
    /// Indexes of services in the chunk's names, with their weights.
    pub targets: Vec<(NameIndex, u32)>,
    /// Indexes of the regions to which new flows may go; `None` if they may go to all regions.
    pub regions: Option<Vec<NameIndex>>,
    /// Index of the requirements of the requests in the chunk's classes; `None` if there are none.
    pub class: Option<ClassIndex>,
}

impl RouteChunk {
    /// Returns the digest of this chunk, which is the same at every balancer.
    #[must_use]
    pub fn digest(&self) -> ChunkDigest {
        let mut hasher = SipHasher24::new();

        hasher.write_usize(self.names.len());
        for name in &self.names {
            hasher.write(name.as_bytes());
            hasher.write_u8(0);
        }
        for (index, rate) in &self.cold_rates {
            hasher.write(&index.to_le_bytes());
            hasher.write(&rate.to_bytes());
        }
        for (index, limit) in &self.connection_limits {
            hasher.write(&index.to_le_bytes());
            hasher.write(&limit.to_le_bytes());
        }
        hasher.write_usize(self.classes.len());
        for class in &self.classes {
            hasher.write(&class.to_bytes());
        }
        for ChunkEntry { address, targets, regions, class } in &self.entries {
            hasher.write(&address_bytes(*address));
            hasher.write_u8(u8::from(class.is_some()));
            hasher.write(&class.unwrap_or_default().to_le_bytes());
            for index in regions.iter().flatten() {
                hasher.write_u8(1);
                hasher.write(&index.to_le_bytes());
            }
            hasher.write_u8(u8::from(regions.is_some()));
            hasher.write_usize(targets.len());
            for (index, weight) in targets {
                hasher.write(&index.to_le_bytes());
                hasher.write(&weight.to_le_bytes());
            }
        }
        hasher.finish().to_le_bytes()
    }

    /// Returns the maximum size of the chunk in the codec's encoding, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        /// An address with its port, the tag of its family, the numbers of its targets and regions,
        /// and the tag of its class.
        const ENTRY_BYTES: usize = 11;
        /// The index of a name takes two bytes at most in a list that fits into a datagram.
        const INDEX_BYTES: usize = 2;
        const RATE_BYTES: usize = INDEX_BYTES + 5;
        let target_bytes = |entry: &ChunkEntry| {
            entry
                .targets
                .iter()
                .map(|(_, weight)| INDEX_BYTES + varint_bytes(*weight))
                .sum::<usize>()
        };
        let region_bytes =
            |entry: &ChunkEntry| INDEX_BYTES * entry.regions.iter().flatten().count();
        let entries = self.entries.iter();
        let names = self.names.iter().map(|name| INDEX_BYTES + name.len());

        names.sum::<usize>()
            + RATE_BYTES * (self.cold_rates.len() + self.connection_limits.len())
            + self.classes.iter().map(class_bytes).sum::<usize>()
            + entries
                .map(|entry| {
                    let class_index = entry.class.map_or(0, |_| CLASS_INDEX_BYTES);
                    ENTRY_BYTES + target_bytes(entry) + region_bytes(entry) + class_index
                })
                .sum::<usize>()
    }

    /// Adds the routes of the chunk to a configuration. Items whose names are missing are left out.
    pub fn add_to(&self, map: &mut RouteMap) {
        for (index, rate) in &self.cold_rates {
            if let Some(service) = self.name(*index) {
                map.cold_rates.insert(service, *rate);
            }
        }
        for (index, limit) in &self.connection_limits {
            if let Some(service) = self.name(*index) {
                map.connection_limits.insert(service, *limit);
            }
        }
        for ChunkEntry { address, targets, regions, class } in &self.entries {
            let class = class.and_then(|index| self.classes.get(usize::from(index)));
            if let Some(class) = class {
                map.request_classes.insert(*address, *class);
            }
            let targets = targets.iter().filter_map(|(index, weight)| {
                Some(RouteTarget { service: self.name(*index)?, weight: *weight })
            });
            map.routes.entry(*address).or_default().extend(targets);
            if let Some(regions) = regions {
                let regions = regions.iter().filter_map(|index| self.name(*index));
                map.allowed_regions.insert(*address, regions.collect());
            }
        }
    }

    fn name(&self, index: NameIndex) -> Option<String> {
        self.names.get(usize::from(index)).cloned()
    }

    /// Adds an entry with an address, some of its targets, and the settings of the configuration
    /// that apply to them.
    fn push(&mut self, map: &RouteMap, address: SocketAddrV4, targets: &[RouteTarget]) {
        let mut indexes = Vec::with_capacity(targets.len());
        for target in targets {
            let index = index_of_name(&mut self.names, &target.service);
            indexes.push((index, target.weight));
            let is_known = self.cold_rates.iter().any(|(known, _)| *known == index);
            let rate = map.cold_rates.get(&target.service).filter(|_| !is_known);
            self.cold_rates.extend(rate.map(|rate| (index, *rate)));
            let is_known = self.connection_limits.iter().any(|(known, _)| *known == index);
            let limit = map.connection_limits.get(&target.service).filter(|_| !is_known);
            self.connection_limits.extend(limit.map(|limit| (index, *limit)));
        }
        let class = map.request_classes.get(&address).map(|class| self.class_index(*class));
        let names = &mut self.names;
        let regions = map.allowed_regions.get(&address);
        let regions = regions.map(|regions| {
            regions
                .iter()
                .take(MAX_ENTRY_REGIONS)
                .map(|region| index_of_name(names, region))
                .collect()
        });

        self.entries.push(ChunkEntry { address, targets: indexes, regions, class });
    }

    /// Returns the index of a class, which is added if it is new.
    fn class_index(&mut self, class: RequestClass) -> ClassIndex {
        let known = self.classes.iter().position(|known| *known == class);
        let index = known.unwrap_or_else(|| {
            self.classes.push(class);
            self.classes.len() - 1
        });

        ClassIndex::try_from(index).unwrap_or(ClassIndex::MAX)
    }

    /// Returns the maximum number of bytes that an entry adds in the codec's encoding.
    fn added_bytes(&self, map: &RouteMap, address: SocketAddrV4, targets: &[RouteTarget]) -> usize {
        // The index of a name takes two bytes at most in a list that fits into a datagram.
        const INDEX_BYTES: usize = 2;
        const IP_BYTES: usize = 4;
        let port_bytes = varint_bytes(u16::MAX.into());
        // A rate is sent along with the name of its service.
        let rate_bytes = INDEX_BYTES + varint_bytes(u32::MAX);
        let target_bytes = targets.iter().map(|target| INDEX_BYTES + varint_bytes(target.weight));
        let regions = map.allowed_regions.get(&address);
        let region_bytes = 1 + regions
            .map_or(0, |regions| INDEX_BYTES * (1 + regions.len().min(MAX_ENTRY_REGIONS)));
        let regions = regions.into_iter().flatten().take(MAX_ENTRY_REGIONS);
        let services = targets.iter().map(|target| &target.service);
        let is_new = |name: &&String| !self.names.contains(*name);
        let limit_bytes = |name: &String| {
            let limit = map.connection_limits.get(name);
            limit.map_or(0, |limit| INDEX_BYTES + varint_bytes(*limit))
        };
        let name_bytes = services.chain(regions).filter(is_new).map(|name| {
            name.len() + varint_bytes(u16::MAX.into()) + rate_bytes + limit_bytes(name)
        });

        IP_BYTES
            + port_bytes
            + INDEX_BYTES
            + region_bytes
            + self.added_class_bytes(map.request_classes.get(&address))
            + target_bytes.chain(name_bytes).sum::<usize>()
    }
}

impl RouteChunk {
    /// Returns the maximum number of bytes that the class of an entry adds in the codec's encoding.
    fn added_class_bytes(&self, class: Option<&RequestClass>) -> usize {
        let new = class.filter(|class| !self.classes.contains(class));

        1 + class.map_or(0, |_| CLASS_INDEX_BYTES) + new.map_or(0, class_bytes)
    }
}

/// Returns the size of a class in the codec's encoding.
fn class_bytes(class: &RequestClass) -> usize {
    /// Sizes of the priority and of the kind.
    const SMALL_FIELD_BYTES: usize = 2;

    SMALL_FIELD_BYTES + varint_bytes(class.target_latency_ms) + varint_bytes(class.timeout_ms)
}

/// Returns the size of a number in the codec's encoding, which stores seven bits per byte.
fn varint_bytes(number: u32) -> usize {
    let bits = usize::try_from(u32::BITS - number.leading_zeros()).unwrap_or(0);

    bits.div_ceil(7).max(1)
}

/// Splits a configuration into chunks.
#[must_use]
pub fn chunks_of(map: &RouteMap) -> Vec<RouteChunk> {
    let mut routes: Vec<_> = map.routes.iter().collect();
    routes.sort_unstable_by_key(|(address, _)| **address);
    let mut chunks = Vec::new();
    let mut chunk = RouteChunk::default();
    let mut used = 0;

    for (address, targets) in routes {
        for targets in target_groups(targets) {
            let added = chunk.added_bytes(map, *address, targets);
            let is_full = used + added > MAX_CHUNK_BYTES;
            if !chunk.entries.is_empty() && (is_full || begins_chunk(*address, used)) {
                chunks.push(std::mem::take(&mut chunk));
                used = 0;
            }
            used += chunk.added_bytes(map, *address, targets);
            chunk.push(map, *address, targets);
        }
    }
    if !chunk.entries.is_empty() {
        chunks.push(chunk);
    }
    chunks
}

/// Returns the targets of one address in groups that each fit into a datagram.
fn target_groups(targets: &[RouteTarget]) -> Vec<&[RouteTarget]> {
    if targets.is_empty() {
        return vec![targets];
    }

    targets.chunks(MAX_ENTRY_TARGETS).collect()
}

/// Reports whether an address begins a new chunk after a chunk of `used` bytes, the same in every
/// configuration.
fn begins_chunk(address: SocketAddrV4, used: usize) -> bool {
    if used < SMALL_CHUNK_BYTES {
        return false;
    }

    let every = if used < LARGE_CHUNK_BYTES { BOUNDARY_EVERY } else { LARGE_CHUNK_BOUNDARY_EVERY };
    let mut hasher = SipHasher24::new();
    hasher.write(&address_bytes(address));
    hasher.finish().is_multiple_of(every)
}

fn address_bytes(address: SocketAddrV4) -> [u8; 6] {
    let [a, b, c, d] = address.ip().octets();
    let [low, high] = address.port().to_le_bytes();

    [a, b, c, d, low, high]
}
