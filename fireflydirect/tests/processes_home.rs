//! An entry process with allowed regions of routes and workspaces.

mod support;

use support::{KEY, Site, cases, until};

async fn until_active(site: &Site, version: u64) {
    until("the configuration", || async {
        site.status(0).await["config"] == version
    })
    .await;
}

/// Sends calls and generations, all of which must run on upstreams whose ids end with `suffix`.
async fn check_all_run_on(site: &Site, suffix: &str) {
    for n in 0..8 {
        let (call, generation) = (site.id(), site.id());
        let answer = site.call(0, "GET", &format!("/fetch/{n}"), &call);
        assert_eq!(answer.send().await.unwrap().status(), 200);
        let answer = site
            .generation(0, "/log/a", 3, &generation)
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status(), 200);
        answer.text().await.unwrap();
        for id in [call, generation] {
            let runs = site.record.runs_of(&id);
            assert!(
                runs.iter().all(|run| run.instance.ends_with(suffix)),
                "{runs:?}"
            );
        }
    }
}

cases! {
    routes_with_a_home_stay_there(site: 1) {
        site.split_data_centres().await;
        site.route_homes = vec!["south"];
        site.publish(&[KEY]);
        until_active(&site, 2).await;
        check_all_run_on(&site, "-1").await;
    }

    workspaces_with_a_home_stay_there(site: 1) {
        site.split_data_centres().await;
        site.workspace_homes = vec!["south"];
        site.publish(&[KEY]);
        until_active(&site, 2).await;
        check_all_run_on(&site, "-1").await;
    }

    request_without_any_home_left_is_told_to_come_back(site: 1) {
        site.split_data_centres().await;
        site.route_homes = vec!["north"];
        site.workspace_homes = vec!["south"];
        site.publish(&[KEY]);
        until_active(&site, 2).await;
        let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
        assert!(site.record.runs().is_empty());
    }
}
