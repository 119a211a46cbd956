//! Orders to the engine stand-in, and the state that they change.

use serde::{Deserialize, Serialize};

/// Kind of change that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads a model.
    Load,
    /// Unloads a model.
    Unload,
    /// Changes the role of the engine.
    Role,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Kind of change.
    pub order: OrderKind,
    /// Model to load or unload; `None` for other orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// New role; `None` in an order that changes the role removes the role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Box<str>>,
}

/// The accepted orders, and the loaded models and the role that result from them.
#[derive(Debug)]
pub(crate) struct OrderState {
    check_fencing: bool,
    highest_fencing: u64,
    pub(crate) accepted: Vec<EngineOrder>,
    pub(crate) models: Vec<Box<str>>,
    pub(crate) role: Option<Box<str>>,
}

impl OrderState {
    pub(crate) fn new(check_fencing: bool, models: Vec<Box<str>>) -> OrderState {
        OrderState { check_fencing, highest_fencing: 0, accepted: Vec::new(), models, role: None }
    }

    /// Executes and records an order.
    ///
    /// Returns `false` and changes nothing if fencing numbers are checked and the order's number is
    /// lower than the highest number accepted so far.
    pub(crate) fn accept(&mut self, order: EngineOrder) -> bool {
        if self.check_fencing && order.fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        match (order.order, &order.model) {
            (OrderKind::Load, Some(model)) if !self.models.contains(model) => {
                self.models.push(model.clone());
            }
            (OrderKind::Unload, Some(model)) => self.models.retain(|loaded| loaded != model),
            (OrderKind::Role, _) => self.role = order.role.clone(),
            (OrderKind::Load | OrderKind::Unload, _) => {}
        }
        self.accepted.push(order);
        true
    }
}
