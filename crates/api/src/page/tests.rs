//! The page that shows both descriptions.
use super::*;
use serde_json::json;

#[test]
fn the_page_needs_nothing_else_and_shows_every_message_and_path() {
    let (asyncapi, openapi) = (crate::parsed(crate::PRESENT), crate::parsed(crate::OPENAPI));
    let page = html(&asyncapi, &openapi);
    for outside in ["http://", "https://", "<script", "src=", "@import", "url("] {
        assert!(!page.contains(outside), "{outside}");
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
    // Links lead somewhere.
    for link in page
        .split("href=\"#")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
    {
        assert!(page.contains(&format!("id=\"{link}\"")), "{link}");
    }
}

#[test]
fn what_stands_in_a_description_is_text_and_no_markup() {
    let strange = json!({"info": {"title": "<b>&\"", "version": "1", "description": ""}});
    let page = html(&strange, &json!({}));
    assert!(page.contains("&lt;b&gt;&amp;&quot;") && !page.contains("<b>"));
}
