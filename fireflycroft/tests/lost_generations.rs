//! An agent whose generations are lost while their upstream may go on with them.

#[path = "support/agent_site.rs"]
mod agent_site;
#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use agent_site::Site;
use fireflycroft::{AgentAction, AgentEvent, AgentLimits, Code, Message};

cases! {
    lost_generation_is_stopped_before_its_caller_hears => {
        let (mut site, generation) = Site::running();
        site.apply(AgentEvent::Lost { generation });
        assert_eq!(ends(&site), [End::Stopped, End::Told]);
    };
    generation_that_broke_too_often_is_stopped => {
        let (mut site, generation) = Site::running();
        for _ in 0..=AgentLimits::default().max_resumes {
            site.apply(AgentEvent::Broken { generation });
        }
        assert_eq!(ends(&site), [End::Stopped, End::Told]);
    };
    generation_of_another_version_is_stopped_once => {
        let (mut site, generation) = Site::running();
        site.apply(AgentEvent::Tokens { generation, tokens: vec![b"a".to_vec()] });
        site.apply(AgentEvent::Opened { generation, software_version: Some("b".into()) });
        assert_eq!(ends(&site), [End::Stopped, End::Told]);
    };
    generation_of_an_ended_upstream_has_nothing_to_stop => {
        let (mut site, _) = Site::running();
        site.apply(AgentEvent::UpstreamDown);
        assert_eq!(ends(&site), [End::Told]);
    };
}

/// What an agent does at the end of a generation.
#[derive(Debug, PartialEq)]
enum End {
    Stopped,
    Told,
}

fn ends(site: &Site) -> Vec<End> {
    let end = |action: &AgentAction| match action {
        AgentAction::Stop(_) => Some(End::Stopped),
        AgentAction::Send(
            _,
            Message::Tokens {
                finish: Some(finish),
                ..
            },
        ) => (finish.code == Code::UpstreamFailed).then_some(End::Told),
        _ => None,
    };
    site.out.iter().filter_map(end).collect()
}
