//! Orders at the agent: checked, forwarded and answered.

use crate::agent::{Agent, AgentAction};
use crate::code::Code;
use crate::generation::{Generation, Stage};
use crate::ids::{Name, RequestId};
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::order::{Order, OrderDecision, OrderKind};
use std::net::SocketAddr;

impl Agent {
    /// Returns the models or plain services that accept new work.
    #[must_use]
    pub fn serves(&self) -> &[Name] {
        &self.serves
    }

    pub(crate) fn on_order(&mut self, from: SocketAddr, order: Order, out: &mut Vec<AgentAction>) {
        let running = self.active_generations_of(&order.model);
        match self.orders.decide(&order, running) {
            OrderDecision::Answer(code) => out.push(self.order_answer(from, order.id, code)),
            OrderDecision::InProgress => self.issuer = Some(from),
            OrderDecision::Forward => {
                self.issuer = Some(from);
                if order.kind == OrderKind::Unload {
                    self.serves.retain(|model| *model != order.model);
                }
                out.push(AgentAction::LogEvent(
                    LogEvent::new("order_passed").request(order.id),
                ));
                out.push(AgentAction::Order(order));
            }
        }
    }

    pub(crate) fn on_order_settled(&mut self, code: Code, out: &mut Vec<AgentAction>) {
        let Some(order) = self.orders.settle(code) else {
            return;
        };
        let event = LogEvent::new("order_settled").request(order.id).code(code);
        out.push(AgentAction::LogEvent(event));
        if let Some(issuer) = self.issuer.take() {
            out.push(self.order_answer(issuer, order.id, code));
        }
    }

    /// Returns the number of generations that use or have reserved the model.
    fn active_generations_of(&self, model: &Name) -> usize {
        let active = |g: &&Generation| matches!(g.stage, Stage::Reserved(_) | Stage::Running);
        let of_model = |g: &&Generation| g.demand.target == *model;
        self.generations
            .values()
            .filter(active)
            .filter(of_model)
            .count()
    }

    fn order_answer(&self, to: SocketAddr, id: RequestId, code: Code) -> AgentAction {
        let fence = self.orders.highest().unwrap_or(0);
        AgentAction::Send(to, Message::OrderAnswer { id, code, fence })
    }
}
