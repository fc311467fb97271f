//! The HTML page that renders both descriptions.
use super::*;
use serde_json::json;

#[test]
fn the_page_loads_nothing_and_lists_every_message_and_path() {
    let (asyncapi, openapi) = (crate::parsed(crate::PRESENT), crate::parsed(crate::OPENAPI));
    let page = render_page(&asyncapi, &openapi);
    for external in ["http://", "https://", "<script", "src=", "@import", "url("] {
        assert!(!page.contains(external), "{external}");
    }
    for name in asyncapi["components"]["messages"]
        .as_object()
        .unwrap()
        .keys()
    {
        assert!(page.contains(&format!("<h3 id=\"{name}\">")), "{name}");
    }
    for path in openapi["paths"].as_object().unwrap().keys() {
        assert!(page.contains(&format!("GET {path}</h3>")), "{path}");
    }
    // Each link has a target on the page.
    for link in page
        .split("href=\"#")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
    {
        assert!(page.contains(&format!("id=\"{link}\"")), "{link}");
    }
}

#[test]
fn markup_in_a_description_is_escaped() {
    let with_markup = json!({"info": {"title": "<b>&\"", "version": "1", "description": ""}});
    let page = render_page(&with_markup, &json!({}));
    assert!(page.contains("&lt;b&gt;&amp;&quot;") && !page.contains("<b>"));
}
