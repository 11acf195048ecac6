//! What the parts of one host process share.
//!
//! All parts run on one thread, so plain cells suffice. No part holds a borrow over an `await`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

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

/// The parts of one host process.
pub struct Shared {
    /// Time since boot.
    pub clock: Clock,
    /// Wall-clock time, only for request ids and to notice clock jumps.
    pub wall: Clock,
    /// The checked settings.
    pub settings: Settings,
    /// Where other host processes reach this one.
    pub addr: HostAddr,
    /// This run of the host process.
    pub incarnation: Incarnation,
    /// This host's part in its cell.
    pub node: RefCell<Node>,
    /// Whether the node takes part in the protocol; before that it knows no partitions.
    pub joined: Cell<bool>,
    /// The configuration in force.
    pub config: ConfigInForce,
    /// What this host does as owner.
    pub owner: Owner,
    /// The backend server on this host.
    pub backend: Backend,
    /// The routes that this host knows as ingress.
    pub routes: Routes,
    /// The client to other host processes.
    pub client: wire::Client,
    /// The client to the platform.
    pub platform: PlatformClient,
    /// The last decisions.
    pub decisions: DecisionLog,
    /// Feeds events to the membership.
    pub events: mpsc::UnboundedSender<Event>,
    /// Whether this host is leaving.
    pub draining: Cell<bool>,
    /// Resolves when this host is asked to leave.
    pub drain_asked: Notify,
    /// Resolves when this host owns nothing any more.
    pub drained: Notify,
    /// Tells the HTTP threads that this host is leaving.
    pub leaving: watch::Sender<bool>,
    /// Publishes the configuration to the HTTP threads.
    pub published: watch::Sender<Arc<Config>>,
}

impl Shared {
    /// Returns the current time on the boot clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Feeds an event to the membership, which handles it soon.
    pub fn feed(&self, event: Event) {
        // The receiver lives as long as the process, so a failure means that it is stopping.
        let _ = self.events.send(event);
    }

    /// Returns this host's own service, if the configuration in force has it.
    pub fn own_service(&self) -> Option<Service> {
        self.service(&self.settings.cell.service)
    }

    /// Returns a service of the configuration in force.
    pub fn service(&self, name: &ServiceName) -> Option<Service> {
        self.config.current().service(name.as_str()).cloned()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// Returns whether the configuration on this host is known to be the newest.
    ///
    /// Grantors name the newest version with each renewal of the lease. A host without a lease may
    /// be cut off, and a rule that it still treats as idempotent may not be so any more. A host
    /// that leaves gives up its lease while it still finishes requests, for a bounded time.
    pub fn knows_current_config(&self) -> bool {
        let now = self.now();
        let leased = self.node.borrow().lease(now).is_some();
        (leased || self.draining.get()) && self.config.is_fresh(now)
    }

    /// Returns whether this host may serve `partition` right now.
    pub fn serves(&self, partition: Partition) -> Option<model::Fence> {
        self.node.borrow().serves(partition, self.now())
    }
}

/// The context that is handed to every part.
pub type Cx = Rc<Shared>;
