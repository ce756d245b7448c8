//! Reads the file that maps namespaces to volumes: `deploy/nvme.json`.

use std::net::SocketAddr;

use miniserde::{json, Deserialize};

use super::command::BlockRange;
use super::pdu::MAX_DATA_BYTES;
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::{ClassId, KeyId, PlanId, ShardId, VolumeId};

/// The fields of the file.
#[derive(Deserialize)]
struct File {
    listen: String,
    subsystem: String,
    queues: u16,
    depth: u16,
    block: u32,
    unit_blocks: u32,
    read: String,
    write: String,
    namespaces: Vec<FileNamespace>,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct FileNamespace {
    nsid: u32,
    volume: String,
    plan: String,
    hosts: u32,
    blocks: u64,
    stripe: u64,
    shards: Vec<u32>,
}

/// A storage node that is an NVMe target.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Target {
    /// Id of the node in the endpoint list.
    pub node: String,
    /// NQN of its subsystem.
    pub subsystem: String,
}

/// A namespace, which is a volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Namespace {
    /// Id of the namespace.
    pub nsid: u32,
    /// The volume.
    pub volume: VolumeId,
    /// The volume's plan.
    pub plan: PlanId,
    /// Number of schedulers through which the volume sends its requests.
    pub hosts: u32,
    /// Size in blocks.
    pub blocks: u64,
    /// Length of a stripe: the number of consecutive blocks on one shard.
    pub stripe: u64,
    /// The shards, in the order of the stripes.
    pub shards: Vec<ShardId>,
}

/// The request class of an opcode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Index of the class in the settings.
    pub id: ClassId,
    /// Name of the class.
    pub name: Box<str>,
}

/// The validated content of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NvmeMap {
    /// The address that hosts connect to.
    pub listen: SocketAddr,
    /// NQN of the front's subsystem.
    pub subsystem: String,
    /// The most I/O queues of a controller.
    pub queues: u16,
    /// The most entries of a queue.
    pub depth: u16,
    /// Size of a block in bytes, a power of two.
    pub block: u32,
    /// Number of blocks that count as one unit.
    pub unit_blocks: u32,
    /// The request class of reads.
    pub read: Class,
    /// The request class of writes.
    pub write: Class,
    /// The namespaces, in the order of their ids.
    pub namespaces: Vec<Namespace>,
    /// The storage nodes that are NVMe targets.
    pub targets: Vec<Target>,
}

impl NvmeMap {
    /// Parses the file and validates it against the deployment.
    ///
    /// # Errors
    /// The field that is not valid, or that names a class or a plan that the deployment does not have.
    pub fn parse(text: &str, deployment: &Deployment) -> Result<Self, ConfigError> {
        let malformed = |_| ConfigError {
            field: "nvme".to_owned(),
            reason: "not JSON, or a field is missing".to_owned(),
        };
        let file: File = json::from_str(text).map_err(malformed)?;
        let class = |field: &str, name: &str, is_write: bool| {
            let index = deployment.class_names.iter().position(|candidate| candidate == name);
            let index = index.filter(|index| deployment.class_writes[*index] == is_write);
            let index = index.ok_or_else(|| ConfigError::invalid(field, name))?;
            Ok(Class { id: ClassId(index as u16), name: name.into() })
        };
        let (read, write) = (class("read", &file.read, false)?, class("write", &file.write, true)?);
        let require = |is_valid: bool, field: &str, value: u64| {
            if is_valid {
                Ok(())
            } else {
                Err(ConfigError::invalid(field, &value.to_string()))
            }
        };
        let block = file.block;
        require(block.is_power_of_two() && (512..=4096).contains(&block), "block", block.into())?;
        require(file.queues > 0, "queues", file.queues.into())?;
        require((2..=1024).contains(&file.depth), "depth", file.depth.into())?;
        let units = (MAX_DATA_BYTES as u32 / block).div_ceil(file.unit_blocks.max(1));
        let max_units = deployment.settings.max_units;
        require(file.unit_blocks > 0 && units <= max_units, "unit_blocks", file.unit_blocks.into())?;
        let mut namespaces = Vec::new();
        for (index, entry) in file.namespaces.into_iter().enumerate() {
            let field = |name: &str| format!("namespaces.{index}.{name}");
            let plan = deployment.plan_names.iter().position(|name| *name == entry.plan);
            let plan = plan.ok_or_else(|| ConfigError::invalid(&field("plan"), &entry.plan))?;
            let volume = u64::from_str_radix(&entry.volume, 16);
            let volume = volume.map_err(|_| ConfigError::invalid(&field("volume"), &entry.volume))?;
            require((1..0xffff_ffff).contains(&entry.nsid), &field("nsid"), entry.nsid.into())?;
            require(entry.hosts > 0, &field("hosts"), entry.hosts.into())?;
            require(entry.blocks > 0, &field("blocks"), entry.blocks)?;
            require(entry.stripe > 0, &field("stripe"), entry.stripe)?;
            require(!entry.shards.is_empty(), &field("shards"), 0)?;
            namespaces.push(Namespace {
                nsid: entry.nsid,
                volume: VolumeId(volume),
                plan: PlanId(plan as u16),
                hosts: entry.hosts,
                blocks: entry.blocks,
                stripe: entry.stripe,
                shards: entry.shards.into_iter().map(ShardId).collect(),
            });
        }
        namespaces.sort_by_key(|namespace| namespace.nsid);
        let duplicate = namespaces.windows(2).find(|pair| pair[0].nsid == pair[1].nsid);
        duplicate
            .map_or(Ok(()), |pair| Err(ConfigError::invalid("namespaces.nsid", &pair[0].nsid.to_string())))?;
        let subsystem = file.subsystem;
        if !subsystem.starts_with("nqn.") || subsystem.len() > 223 {
            return Err(ConfigError::invalid("subsystem", &subsystem));
        }
        Ok(Self {
            listen: file.listen.parse().map_err(|_| ConfigError::invalid("listen", &file.listen))?,
            subsystem,
            queues: file.queues,
            depth: file.depth,
            block,
            unit_blocks: file.unit_blocks,
            read,
            write,
            namespaces,
            targets: file.targets,
        })
    }

    /// Returns the namespace with this id.
    pub fn namespace(&self, nsid: u32) -> Option<&Namespace> {
        self.namespaces.iter().find(|namespace| namespace.nsid == nsid)
    }

    /// Returns the number of units of `blocks` blocks, at least 1.
    pub fn units(&self, blocks: u32) -> u32 {
        blocks.div_ceil(self.unit_blocks).max(1)
    }

    /// Returns the blocks of an object, whose key is the number of its first block. `None` if the volume is
    /// not a namespace, or the range is empty or goes beyond the end of the namespace.
    pub fn block_range(&self, volume: VolumeId, key: KeyId, count: u32) -> Option<BlockRange> {
        let namespace = self.namespaces.iter().find(|namespace| namespace.volume == volume)?;
        let end = key.0.checked_add(u64::from(count))?;
        let is_valid = count > 0 && end <= namespace.blocks;
        is_valid.then_some(BlockRange { nsid: namespace.nsid, first: key.0, count })
    }
}

impl Namespace {
    /// Returns the shard that holds a block.
    pub fn shard(&self, block: u64) -> ShardId {
        let index = block / self.stripe % self.shards.len() as u64;
        self.shards[index as usize]
    }
}
