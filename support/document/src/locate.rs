//! Lookup of the lines of keys, for problems found after reading.

use marked_yaml::types::Node;

use crate::parse;
use crate::section::line_of;

/// Returns for each path the line of its deepest key that is present in the document.
pub fn locate<P>(text: &str, paths: &[P]) -> Vec<Option<usize>>
where
    P: AsRef<[String]>,
{
    let Ok(root) = parse(text) else {
        return vec![None; paths.len()];
    };
    paths.iter().map(|p| line_at(&root, p.as_ref())).collect()
}

fn line_at(root: &Node, path: &[String]) -> Option<usize> {
    let mut node = root;
    let mut line = None;
    for key in path {
        let next = node.as_mapping().and_then(|m| m.get_node(key));
        let Some(next) = next else {
            break;
        };
        node = next;
        line = line_of(node);
    }
    line
}
