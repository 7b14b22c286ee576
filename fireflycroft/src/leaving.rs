//! Upstreams that say in their answers that they leave.
//!
//! The platform's list says so too, but while its store is away nobody hears of
//! it; the answers reach whoever sends the upstream requests.

use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::UpstreamIx;

impl Pool {
    /// Notes that an upstream said in an answer that it leaves; true when it hadn't before.
    pub fn note_said_leaving(&mut self, now: Time, ix: UpstreamIx) -> bool {
        let u = &mut self.upstreams[ix.0];
        let is_first = u.said_leaving_at.is_none();
        u.said_leaving_at.get_or_insert(now);
        is_first
    }
}
