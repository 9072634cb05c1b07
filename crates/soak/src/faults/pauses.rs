//! Endpoints that fall silent and go on, and endpoints whose responses never end.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use teaselshunt_standin::{SiteFault, SiteNoEnd};

use super::{Plan, Undo};
use crate::site::Site;

/// Length of a pause, and the longest time after which an endpoint that pauses at a moment of its own does so, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..3_000;
const OWN_MOMENT_MS: u64 = 1_500;

/// Which endpoints pause.
#[derive(Debug, Clone, Copy)]
enum Extent {
    One,
    Most,
    All,
}

impl Plan {
    /// Now and then endpoints pause.
    pub(super) fn pause_now_and_then(&mut self, site: &Site) {
        if self.silences.random_bool(0.04) {
            self.pause_endpoints(site);
        }
    }

    /// Pauses one endpoint, most or all, together or each at a moment of its own and for a time of its own.
    fn pause_endpoints(&mut self, site: &Site) {
        let rng = &mut self.silences;
        let extent = [Extent::One, Extent::One, Extent::Most, Extent::All][rng.random_range(0..4)];
        let together = rng.random_bool(0.5);
        let draw = |rng: &mut StdRng| {
            let delay = if together { 0 } else { rng.random_range(0..OWN_MOMENT_MS) };
            (delay, rng.random_range(PAUSE_MS))
        };
        let common = draw(rng);
        let parts = site.parts();
        let chosen = rng.random_range(0..parts.endpoints.len());
        let mut lines = Vec::new();
        for (index, endpoint) in parts.endpoints.iter().enumerate() {
            let pauses = match extent {
                Extent::One => index == chosen,
                Extent::Most => rng.random_bool(0.7),
                Extent::All => true,
            };
            if pauses {
                let (delay, time) = if together { common } else { draw(rng) };
                let after = Duration::from_millis(delay);
                self.pauses.push(endpoint.server.pause_after(after, Duration::from_millis(time)));
                lines.push(format!("{index} in {delay} ms for {time} ms"));
            }
        }
        drop(parts);
        self.log(&format!("endpoints pause ({extent:?}): {}", lines.join(", ")));
    }

    /// Ends all pauses, also those that have not begun.
    pub(super) fn end_pauses(&mut self) {
        self.pauses.drain(..).for_each(|pause| pause.abort());
    }

    /// Now and then the responses of an endpoint have no end.
    pub(super) fn send_without_end(&mut self, site: &Site) {
        if !self.silences.random_bool(0.05) {
            return;
        }
        let kinds = [
            SiteNoEnd::Head,
            SiteNoEnd::Body,
            SiteNoEnd::Events,
            SiteNoEnd::Interim,
            SiteNoEnd::Extensions,
            SiteNoEnd::Trailers,
        ];
        let kind = kinds[self.silences.random_range(0..kinds.len())];
        let index = self.silences.random_range(0..site.parts().endpoints.len());
        let time = Duration::from_millis(self.silences.random_range(200..2_000));
        self.log(&format!("endpoint {index} sends without end: {kind:?}"));
        site.parts().endpoints[index].set_fault(SiteFault::NoEnd(kind));
        self.undo.push((Instant::now() + time, Undo::Fault(index)));
    }

    /// Waits for a short random time, and starts a pause or a fault that breaks no response: no endpoint fails in these steps.
    pub(crate) async fn step_with_pauses(&mut self, site: &Site) {
        let pause = self.rng.random_range(50..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        self.undo_due(site, Instant::now());
        match self.rng.random_range(0..12) {
            0 | 1 => self.pause_endpoints(site),
            2 | 3 => self.publish_configuration(site),
            4 | 5 => self.reload_instance(site),
            6 => self.terminate_instance(site),
            7 => self.kill_instance(site),
            _ => {}
        }
    }
}
