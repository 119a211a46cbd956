//! Log lines and metrics of the choice of an endpoint.

use pimentorock_kernel::{
    place::{PlaceChoice, PlacementDiagnosis},
    reason::DecisionReason,
};

use crate::{dispatcher::RequestDispatcher, logs::part};

impl RequestDispatcher {
    /// Logs why no endpoint was chosen.
    pub(crate) fn log_not_placed(&self, reason: &DecisionReason, diagnosis: &PlacementDiagnosis) {
        log::info!(
            target: part::REQUEST,
            request = &*self.request.id, service = &*self.placement.service,
            reason = reason.to_string(), open = diagnosis.open, down = diagnosis.down,
            excluded = self.excluded.len(), resting = diagnosis.excluded, limited = diagnosis.limited, short_of_memory = diagnosis.short_of_memory,
            least_load = diagnosis.least_load, load_limit = diagnosis.load_limit,
            others_age_ms = diagnosis.others_age.map_or(-1, |age| age.as_millis() as i64),
            resumes = self.request.logged_stream(),
            prompt_tokens = self.placement.prompt_tokens;
            "request not placed"
        );
    }

    /// Logs the chosen endpoint.
    ///
    /// The log field `resumes` names the attempt that began the stream which the caller takes up.
    /// The log field `home_rank` is the rank of the endpoint among those that are preferred for the
    /// request's shared prompt parts, or -1 if the endpoint is not preferred; `ahead` is the number
    /// of prompt tokens that the endpoint has not prefilled yet.
    pub(crate) fn log_choice(&self, choice: &PlaceChoice) {
        let request = &self.request;
        log::info!(
            target: part::REQUEST,
            request = &*request.id, route = &*request.route.name, endpoint = &*choice.name,
            version = &*choice.software, resumes = request.logged_stream(),
            fingerprint = format!("{:016x}", self.fingerprint), sends = self.sends, cost = choice.cost as u64, cached = choice.cached,
            home_rank = choice.home_rank.map_or(-1, |rank| rank as i64),
            ahead = choice.pending_prefill, load = choice.load, limited = choice.limited, strict = choice.strict,
            others_age_ms = choice.others_age.map_or(-1, |age| age.as_millis() as i64),
            prompt_tokens = self.placement.prompt_tokens;
            "request placed"
        );
    }
}

/// Returns the name in metrics of what limits of endpoints meant for a choice; `None` if there was
/// none.
pub(crate) fn limit_decision(choice: &Result<PlaceChoice, DecisionReason>) -> Option<&'static str> {
    match choice {
        Ok(choice) if choice.send_by.is_some() => Some("sent"),
        Ok(choice) if choice.limited > 0 => Some("elsewhere"),
        Err(DecisionReason::EndpointsLimited { .. }) => Some("refused"),
        _ => None,
    }
}
