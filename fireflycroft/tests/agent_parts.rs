//! An agent and the messages of prompts that crash its upstream: what it tells, and which offers it refuses.

#[path = "support/agent_site.rs"]
mod agent_site;

use agent_site::Site;
use fireflycroft::{
    AgentEvent, Code, CrashId, CrashNews, CrashReport, Message, PartId, Reach, RefusedSuspect,
    SoundSuspect, Suspect,
};
use std::time::Duration;

const BAD: PartId = PartId(0xbad);
const FIRST: PartId = PartId(0xf1);

macro_rules! cases {
    ($($name:ident($site:ident: $batch:literal) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $site = Site::new($batch);
                $body
            }
        )+
    };
}

fn crash(ended: u64) -> CrashReport {
    CrashReport {
        ended: CrashId(ended),
        suspects: vec![Suspect::Part(FIRST), Suspect::Part(BAD)],
        begun: true,
        reach: Reach::default(),
        age: Duration::ZERO,
    }
}

fn refused() -> CrashNews {
    let part = RefusedSuspect {
        suspect: Suspect::Part(BAD),
        crashes: 3,
        age: Duration::from_secs(1),
    };
    CrashNews {
        refused: vec![part],
        ..CrashNews::default()
    }
}

cases! {
    offer_of_a_refused_part_is_refused(site: 2) {
        site.receive(Message::CrashNews(refused()));
        site.offer(1, &[FIRST, BAD]);
        site.offer(2, &[FIRST]);
        assert_eq!(site.answers(1), [Some(Code::PartRefused)]);
        assert_eq!(site.answers(2), [None]);
    }

    part_that_is_being_found_out_gets_no_final_refusal(site: 2) {
        let crashes = (1..=3).map(crash).collect();
        site.receive(Message::CrashNews(CrashNews { crashes, ..CrashNews::default() }));
        site.offer(1, &[FIRST, BAD]);
        assert_eq!(site.answers(1), [Some(Code::Overloaded)]);
        site.now = site.now + Duration::from_secs(1);
        site.apply(AgentEvent::Tick);
        site.offer(2, &[FIRST, BAD]);
        assert_eq!(site.answers(2), [Some(Code::PartRefused)]);
    }

    waiting_offer_is_refused_with_its_part(site: 1) {
        site.offer(1, &[FIRST]);
        site.offer(2, &[FIRST, BAD]);
        assert_eq!((site.answers(1), site.answers(2)), (vec![None], Vec::new()));
        site.receive(Message::CrashNews(refused()));
        assert_eq!(site.answers(2), [Some(Code::PartRefused)]);
    }

    sound_part_is_released(site: 2) {
        site.receive(Message::CrashNews(refused()));
        let sound = SoundSuspect { suspect: Suspect::Part(BAD), age: Duration::ZERO };
        site.receive(Message::CrashNews(CrashNews { sound: vec![sound], ..CrashNews::default() }));
        site.offer(1, &[BAD]);
        assert_eq!(site.answers(1), [None]);
    }
}
