//! The state shared by all components of a host process.
//!
//! All components run on one thread, so `Cell` and `RefCell` suffice. No component holds a borrow
//! across an `await`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use client_memory::MemoryAccount;
use model::{Clock, ConfigVersion, HostAddr, Incarnation, Millis, Partition, ServiceName};
use ownership::{Event, Node};
use papayarill_config::{Config, Service};
use platform::PlatformClient;
use tokio::sync::{Notify, mpsc, watch};

use crate::backend::Backend;
use crate::config_watch::ConfigInForce;
use crate::decisions::DecisionLog;
use crate::owner::Owner;
use crate::routes::Routes;
use crate::settings::Settings;

/// The shared state of a host process.
pub struct HostContext {
    /// The time since boot. All protocol times are measured on this clock.
    pub boot_clock: Clock,
    /// The wall clock, used only for request ids and to detect clock jumps.
    pub wall_clock: Clock,
    /// The validated settings.
    pub settings: Settings,
    /// The address at which other host processes reach this one.
    pub addr: HostAddr,
    /// Identifies this run of the host process.
    pub incarnation: Incarnation,
    /// The state machine of the ownership protocol.
    pub node: RefCell<Node>,
    /// Whether the node takes part in the protocol. Until then it does not know which partitions
    /// its cell has.
    pub joined: Cell<bool>,
    /// The configuration in force.
    pub config: ConfigInForce,
    /// The state of this host as owner.
    pub owner: Owner,
    /// The local backend server.
    pub backend: Backend,
    /// The routing state of this host as ingress.
    pub routes: Routes,
    /// The client for other host processes.
    pub client: wire::Client,
    /// The client for the platform.
    pub platform: PlatformClient,
    /// The account of what is held for clients.
    pub memory: Rc<MemoryAccount>,
    /// The last ownership decisions.
    pub decisions: DecisionLog,
    /// Sends events to the membership actor.
    pub events: mpsc::UnboundedSender<Event>,
    /// Whether this host is draining.
    pub draining: Cell<bool>,
    /// Notified when this host is asked to drain.
    pub drain_requested: Notify,
    /// Notified when this host no longer owns any partition.
    pub drained: Notify,
    /// Publishes to the connections whether this host is draining.
    pub draining_updates: watch::Sender<bool>,
    /// Publishes the configuration to the connections.
    pub config_updates: watch::Sender<Arc<Config>>,
}

impl HostContext {
    /// Returns the current time on the boot clock.
    pub fn now(&self) -> Millis {
        self.boot_clock.now()
    }

    /// Queues an event for the membership actor.
    pub fn feed(&self, event: Event) {
        // The receiver lives as long as the process, so sending only fails during shutdown.
        let _ = self.events.send(event);
    }

    /// Returns the service of this host, if it is in the configuration in force.
    pub fn own_service(&self) -> Option<Service> {
        self.service(&self.settings.cell.service)
    }

    /// Returns a service from the configuration in force.
    pub fn service(&self, name: &ServiceName) -> Option<Service> {
        self.config.current().service(name.as_str()).cloned()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// Returns whether the configuration on this host is known to be the newest.
    ///
    /// Grantors report the newest version with each lease renewal. A host without a lease may be
    /// partitioned from them, and a rule that its configuration treats as idempotent may have been
    /// changed. A draining host is exempt: it gives up its lease while it still finishes requests,
    /// for a bounded time.
    pub fn knows_current_config(&self) -> bool {
        let now = self.now();
        let leased = self.node.borrow().lease(now).is_some();
        (leased || self.draining.get()) && self.config.is_fresh(now)
    }

    /// Returns the fencing token under which this host may currently serve `partition`, if any.
    pub fn serves(&self, partition: Partition) -> Option<model::Fence> {
        self.node.borrow().serves(partition, self.now())
    }
}

/// A shared reference to the context, passed to all components.
pub type Cx = Rc<HostContext>;
