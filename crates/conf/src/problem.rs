//! Errors in a configuration, with their locations and their rendering for a terminal.

use std::fmt;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode};
use thiserror::Error;

use crate::source::{Sources, Span};

/// One error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What was found, and what was expected.
    pub message: String,
    /// Location; `None` if no line can be shown, for example because a file cannot be read.
    pub span: Option<Span>,
    /// Advice on how to correct it.
    pub help: Option<String>,
}

impl Problem {
    /// An error at a location in a source text.
    pub fn at(span: Span, message: impl Into<String>) -> Self {
        Problem { message: message.into(), span: Some(span), help: None }
    }

    /// An error without a location.
    pub fn without_span(message: impl Into<String>) -> Self {
        Problem { message: message.into(), span: None, help: None }
    }

    /// Adds advice, in place of any earlier one.
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Suggests the valid word that is most similar to the one found, if one is similar enough.
    pub fn suggest<'a>(self, found: &str, known: impl IntoIterator<Item = &'a str>) -> Self {
        match most_similar(found, known) {
            Some(word) => self.help(format!("did you mean `{word}`?")),
            None => self,
        }
    }
}

/// The valid word with the smallest edit distance. The limit of a third of the longer word's letters prevents
/// misleading suggestions.
fn most_similar<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let found = found.to_ascii_lowercase();
    let distance = |word: &str| strsim::damerau_levenshtein(&found, word);
    let candidates = known.into_iter().filter(|word| !word.is_empty()).map(|word| (distance(word), word));
    let similar = candidates.filter(|(distance, word)| *distance <= (word.len().max(found.len()) / 3).max(1));
    similar.min().map(|(_, word)| word)
}

/// All errors of a configuration, with the source texts that they refer to.
#[derive(Debug, Error)]
pub struct Problems {
    /// The errors, in the order in which they were found.
    pub list: Vec<Problem>,
    sources: Sources,
}

impl Problems {
    /// Combines errors with the source texts that their spans refer to.
    pub fn new(list: Vec<Problem>, sources: Sources) -> Self {
        Problems { list, sources }
    }

    /// Renders each error with the source lines around it, for a terminal, without colours.
    pub fn render(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor()).with_width(110);
        let mut text = String::new();
        for problem in &self.list {
            text.push_str(&format!("{}{}\n", self.location(problem), problem.message));
            if let Some(span) = problem.span {
                let excerpt = Excerpt { problem, span, source: self.named(span) };
                // Can only fail in writing to the string, which does not fail.
                let _ = handler.render_report(&mut text, &excerpt);
            } else if let Some(help) = &problem.help {
                text.push_str(&format!("  {help}\n"));
            }
        }
        text
    }

    fn named(&self, span: Span) -> NamedSource<String> {
        let source = self.sources.get(span.file);
        NamedSource::new(source.name.clone(), source.text.clone())
    }

    fn location(&self, problem: &Problem) -> String {
        problem.span.map_or_else(String::new, |span| format!("{}: ", self.sources.location(span)))
    }
}

impl fmt::Display for Problems {
    /// All errors on one line, each as `file:line:column: message`, separated by semicolons.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            write!(f, "{separator}{}{}", self.location(problem), problem.message)?;
            if let Some(help) = &problem.help {
                write!(f, " ({help})")?;
            }
        }
        Ok(())
    }
}

/// The source lines around an error, as a `miette` diagnostic. The message itself is printed above it.
#[derive(Debug)]
struct Excerpt<'a> {
    problem: &'a Problem,
    span: Span,
    source: NamedSource<String>,
}

impl fmt::Display for Excerpt<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.problem.help.as_deref().unwrap_or("on this line"))
    }
}

impl std::error::Error for Excerpt<'_> {}

impl Diagnostic for Excerpt<'_> {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let length = self.span.end - self.span.start;
        let label = LabeledSpan::new(Some("here".into()), self.span.start, length);
        Some(Box::new(std::iter::once(label)))
    }
}

#[cfg(test)]
mod tests {
    use super::most_similar;

    #[test]
    fn only_a_similar_word_is_suggested() {
        let known = ["listen", "discovery", "zone"];
        assert_eq!(most_similar("lisen", known), Some("listen"));
        assert_eq!(most_similar("Listen", known), Some("listen"));
        assert_eq!(most_similar("port", known), None);
    }
}
