//! Starts and stops endpoints through orders to the platform, under the lease.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::{
    control::{ListedHost, OrderAction, OrderReply},
    ids::FencingNumber,
    record::{OrderIntent, OrderVerb, STATE_STREAM, StateRecord},
    scale::{ScaleAction, ScaleDecision},
    time::TimePoint,
};
use pimentorock_platform::{
    log_client::LogClient,
    order_client::OrderClient,
    wire::{HostList, HostState, OrderKind, OrderRequest},
};
use tokio_util::sync::CancellationToken;

use crate::{
    control::ControlCore,
    logs::part,
    peer,
    state::{StateReplica, lease_task},
};

/// Time between checks of the fleet.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Applies the scaling policy and sends orders while this process holds the lease.
#[derive(Debug)]
pub(crate) struct OrderSender {
    core: Arc<ControlCore>,
    replica: Arc<StateReplica>,
    log: LogClient,
    orders: OrderClient,
}

impl OrderSender {
    /// Returns a sender of orders to the platform URL `base`.
    pub(crate) fn new(
        core: Arc<ControlCore>,
        replica: Arc<StateReplica>,
        http: reqwest::Client,
        base: &str,
    ) -> OrderSender {
        let log = LogClient::new(http.clone(), base, STATE_STREAM);
        OrderSender { core, replica, log, orders: OrderClient::new(http, base) }
    }

    /// Checks the fleet until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let task = async |fencing| self.check_fleet(fencing).await;
        lease_task::perform(&self.replica, CHECK_PERIOD, stop, task).await;
    }

    /// Advances the open orders and applies new decisions of the scaling policy.
    async fn check_fleet(&self, fencing: FencingNumber) {
        if let Some((sent, list)) = self.core.host_list() {
            self.replica.note_order_hosts(sent, &listed_hosts(&list));
        }
        for action in self.replica.next_order_actions(fencing) {
            match action {
                OrderAction::Send(intent) => self.send(&intent).await,
                OrderAction::Settle(settled) => {
                    self.append(&StateRecord::OrderSettled(settled)).await;
                }
                OrderAction::Wait { .. } => {}
            }
        }
        for decision in self.replica.scale(&self.core.catalog(), &self.core.fleet_status()) {
            self.apply_decision(decision, fencing).await;
        }
    }

    /// Records an order for a scaling decision, or drains the endpoint that it names.
    async fn apply_decision(&self, decision: ScaleDecision, fencing: FencingNumber) {
        let catalog = self.core.catalog();
        match decision.action {
            ScaleAction::Start { domain, model } => {
                let name = &catalog.models[model].name;
                let Some(endpoint) = self.core.stopped_endpoint(name, &domain) else { return };
                log::info!(target: part::CONTROL, "Endpoint {endpoint} is to start: {}.", decision.reason);
                self.record(OrderVerb::Start, endpoint, domain, fencing).await;
            }
            ScaleAction::Stop { endpoint } => {
                let spec = &catalog.endpoints[endpoint];
                log::info!(target: part::CONTROL, "Endpoint {} is to stop: {}.", spec.name, decision.reason);
                let (name, domain) = (spec.name.clone(), spec.domain.clone());
                self.record(OrderVerb::Stop, name, domain, fencing).await;
            }
            ScaleAction::Drain { endpoint } => {
                let name = &catalog.endpoints[endpoint].name;
                log::info!(target: part::CONTROL, "Endpoint {name} is to drain: {}.", decision.reason);
                if let Some(agent) = self.core.agent_address(name) {
                    peer::retire_endpoint(agent, name).await;
                }
            }
        }
    }

    /// Appends the intent of an order; the order is sent after the intent was read back.
    async fn record(
        &self,
        verb: OrderVerb,
        endpoint: Box<str>,
        domain: Box<str>,
        fencing: FencingNumber,
    ) {
        let sender = self.core.identity().process.clone();
        let id = format!("{sender}-{:016x}", rand::random::<u64>()).into();
        let intent = OrderIntent { id, sender, fencing, verb, endpoint, domain };
        self.append(&StateRecord::OrderIntent(intent)).await;
    }

    /// Sends an order to the platform if this process still holds the lease.
    async fn send(&self, intent: &OrderIntent) {
        let Some(fencing) = self.replica.begin_order(&intent.id) else { return };
        let sent = self.orders.send(&request(intent, fencing)).await;
        self.replica.end_act();
        let reply = match &sent {
            Ok(_) => OrderReply::Accepted,
            Err(error) if error.is_permanent() => OrderReply::Refused,
            Err(error) if error.may_have_taken_effect() => OrderReply::Lost,
            Err(_) => OrderReply::NotSent,
        };
        if let Err(error) = sent {
            log::warn!(target: part::CONTROL, "The call for order {} failed: {error}.", intent.id);
        }
        self.replica.record_reply(&intent.id, reply);
    }

    async fn append(&self, record: &StateRecord) {
        let id = format!("{}-{:032x}", self.core.identity().process, rand::random::<u128>());
        if let Err(error) = self.log.append(&id, record).await {
            log::debug!(target: part::CONTROL, "The append of order record {id} was not confirmed: {error}.");
        }
    }
}

fn request(intent: &OrderIntent, fencing: FencingNumber) -> OrderRequest {
    OrderRequest {
        id: intent.id.clone(),
        sender: intent.sender.name.clone(),
        fencing: fencing.0,
        kind: match intent.verb {
            OrderVerb::Start => OrderKind::Start,
            OrderVerb::Stop => OrderKind::Stop,
        },
        endpoint: intent.endpoint.clone(),
        domain: intent.domain.clone(),
    }
}

fn listed_hosts(list: &HostList) -> Vec<ListedHost> {
    let hosts = list.hosts.iter().map(|host| ListedHost {
        name: host.host.clone(),
        order: host.order.clone(),
        leaving: host.state == HostState::Leaving,
    });
    hosts.collect()
}

/// A host list with the time at which it was requested.
pub(crate) type DatedHostList = (TimePoint, HostList);
