//! The grammar: words, lines, sections. It knows no keyword.

use std::ops::Range;

use winnow::ascii::{line_ending, space0};
use winnow::combinator::{alt, delimited, eof, opt, preceded, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, one_of, take_while};

use crate::problem::Problem;
use crate::source::Span;

/// A word, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Its text, without quotes and escapes.
    pub text: String,
    /// Where.
    pub span: Span,
}

/// A line, with the lines that it encloses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Its first word.
    pub keyword: Word,
    /// The others.
    pub args: Vec<Word>,
    /// The lines between its braces, if it has any.
    pub block: Option<Vec<Line>>,
}

impl Word {
    /// A word that stands in no text: from the command line, or from the program.
    pub fn synthetic(text: &str) -> Self {
        Word { text: text.into(), span: Span { file: 0, start: 0, end: 0 } }
    }
}

impl Line {
    /// The words, without the block.
    pub fn span(&self) -> Span {
        let end = self.args.last().map_or(self.keyword.span.end, |last| last.span.end);
        Span { end, ..self.keyword.span }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    Word(String),
    Open,
    Close,
}

type Input<'a> = LocatingSlice<&'a str>;

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let escape = preceded('\\', any).verify_map(|c| match c {
        'n' => Some('\n'),
        't' => Some('\t'),
        '"' | '\\' => Some(c),
        _ => None,
    });
    let character = alt((none_of(['"', '\\', '\n', '\r']), escape));
    delimited('"', repeat(0.., character), '"').parse_next(input)
}

fn bare(input: &mut Input<'_>) -> ModalResult<String> {
    let stops = |c: char| c.is_whitespace() || matches!(c, '"' | '{' | '}');
    let first = one_of(move |c: char| !stops(c) && c != '#');
    (first, take_while(0.., move |c: char| !stops(c))).take().map(str::to_owned).parse_next(input)
}

/// A token ends where blank space, a brace or the line does: `"a"b` is no two words.
fn token(input: &mut Input<'_>) -> ModalResult<(Token, Range<usize>)> {
    let brace = alt(('{'.value(Token::Open), '}'.value(Token::Close)));
    alt((quoted.map(Token::Word), bare.map(Token::Word), brace)).with_span().parse_next(input)
}

/// Blank space; a backslash at the end of a line goes on in the next.
fn gap(input: &mut Input<'_>) -> ModalResult<()> {
    let next_line = ('\\', line_ending, space0);
    (space0, repeat::<_, _, (), _, _>(0.., next_line)).void().parse_next(input)
}

fn comment(input: &mut Input<'_>) -> ModalResult<()> {
    ('#', take_while(0.., |c: char| c != '\n')).void().parse_next(input)
}

fn end(input: &mut Input<'_>) -> ModalResult<()> {
    alt((line_ending.void(), eof.void())).parse_next(input)
}

/// The tokens of one line.
fn tokens(input: &mut Input<'_>) -> ModalResult<Vec<(Token, Range<usize>)>> {
    let mut found: Vec<(Token, Range<usize>)> = Vec::new();
    loop {
        gap.parse_next(input)?;
        opt(comment).parse_next(input)?;
        if opt(end).parse_next(input)?.is_some() {
            return Ok(found);
        }
        let (token, span) = token.parse_next(input)?;
        let touches = found.last().is_some_and(|(last, at)| {
            at.end == span.start && matches!((last, &token), (Token::Word(_), Token::Word(_)))
        });
        if touches {
            return Err(ErrMode::Cut(ContextError::new()));
        }
        found.push((token, span));
    }
}

/// Reads a text. Errors do not end the reading: the line is left out and the next one read.
pub fn parse(file: usize, text: &str, problems: &mut Vec<Problem>) -> Vec<Line> {
    // A byte order mark is what some editors leave.
    let skipped = text.len() - text.trim_start_matches('\u{feff}').len();
    let mut input = LocatingSlice::new(text);
    let _ = input.next_slice(skipped);
    let mut stack: Vec<(Option<Line>, Vec<Line>)> = vec![(None, Vec::new())];
    let at = |span: &Range<usize>| Span { file, start: span.start, end: span.end };
    while input.eof_offset() > 0 {
        let start = input.current_token_start();
        let line = match tokens.parse_next(&mut input) {
            Ok(line) => line,
            Err(_) => {
                let bad = input.current_token_start();
                let rest = text[start..].find('\n').map_or(text.len(), |n| start + n + 1);
                let end = text[bad..].chars().next().map_or(bad, |c| bad + c.len_utf8());
                problems.push(Problem::at(Span { file, start: bad, end }, what_stops(text, bad)));
                // What continuation lines had led past is not read again.
                let rest = rest.max(text[bad..].find('\n').map_or(text.len(), |n| bad + n + 1));
                input = LocatingSlice::new(text);
                let _ = input.next_slice(rest);
                continue;
            }
        };
        place_line(line, &at, &mut stack, problems);
    }
    while stack.len() > 1 {
        let (open, lines) = stack.pop().unwrap_or_default();
        if let Some(mut open) = open {
            let text = format!("`{}` is never closed, expected `}}`", open.keyword.text);
            problems.push(Problem::at(open.span(), text));
            open.block = Some(lines);
            stack.last_mut().expect("the outermost is never taken").1.push(open);
        }
    }
    stack.pop().map_or_else(Vec::new, |outermost| outermost.1)
}

fn place_line(
    tokens: Vec<(Token, Range<usize>)>,
    at: &impl Fn(&Range<usize>) -> Span,
    stack: &mut Vec<(Option<Line>, Vec<Line>)>,
    problems: &mut Vec<Problem>,
) {
    let mut words = Vec::new();
    let (mut opens, mut closes) = (None, None);
    let count = tokens.len();
    for (place, (token, span)) in tokens.into_iter().enumerate() {
        match token {
            Token::Word(text) => words.push(Word { text, span: at(&span) }),
            Token::Open if place + 1 == count && place > 0 => opens = Some(span),
            Token::Close if count == 1 => closes = Some(span),
            Token::Open => {
                let text = "found `{`, expected it at the end of a line that names a section";
                return problems.push(Problem::at(at(&span), text).help("or put the word in quotes"));
            }
            Token::Close => {
                let text = "found `}`, expected it alone on its line";
                return problems.push(Problem::at(at(&span), text).help("or put the word in quotes"));
            }
        }
    }
    if let Some(span) = closes {
        match stack.len() {
            1 => problems.push(Problem::at(at(&span), "found `}`, but no section is open")),
            _ => {
                let (open, lines) = stack.pop().unwrap_or_default();
                if let Some(mut open) = open {
                    open.block = Some(lines);
                    stack.last_mut().expect("the outermost is never taken").1.push(open);
                }
            }
        }
        return;
    }
    let mut words = words.into_iter();
    let Some(keyword) = words.next() else { return };
    let line = Line { keyword, args: words.collect(), block: None };
    match opens {
        Some(_) => stack.push((Some(line), Vec::new())),
        None => stack.last_mut().expect("the outermost is never taken").1.push(line),
    }
}

fn what_stops(text: &str, at: usize) -> String {
    match text[at..].chars().next() {
        None | Some('\n' | '\r') => "found the end of the line inside quotes, expected `\"`".into(),
        Some('"') => "found a quote that is not closed in its line, or that touches another word".into(),
        Some('\\') => {
            "found a backslash, expected \\n, \\t, \\\" or \\\\ in quotes, or one at the line's end".into()
        }
        Some(c) => format!("found {c:?}, expected a word, `{{`, `}}`, a comment or the end of the line"),
    }
}
