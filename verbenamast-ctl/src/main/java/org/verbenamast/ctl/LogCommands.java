package org.verbenamast.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Either;

/** The command that tells the story of a request from the log files of any number of nodes. */
final class LogCommands {

    /** The name that stands for standard input in place of a file. */
    private static final String STANDARD_INPUT = "-";

    private LogCommands() {}

    static Either<CtlFault, ExitCode> why(Session session) {
        List<String> words = session.options().words;
        String id = words.get(1);
        List<LogLine> story = new ArrayList<>();
        int unreadable = 0;
        for (String name : words.subList(2, words.size())) {
            Either<CtlFault, List<String>> lines = read(name);
            if (lines.isLeft()) {
                return Either.left(lines.getLeft());
            }
            for (String line : lines.get()) {
                Either<CtlFault, LogLine> parsed = LogLine.parse(line);
                unreadable += parsed.isLeft() ? 1 : 0;
                if (parsed.isRight() && parsed.get().isAbout(id)) {
                    story.add(parsed.get());
                }
            }
        }
        return tell(session, id, story, unreadable);
    }

    private static Either<CtlFault, List<String>> read(String name) {
        try {
            if (name.equals(STANDARD_INPUT)) {
                return Either.right(lines(System.in));
            }
            try (InputStream in = Files.newInputStream(Path.of(name))) {
                return Either.right(lines(in));
            }
        } catch (IOException e) {
            return Either.left(CtlFault.shouldBeReadable(name, e.toString()));
        }
    }

    private static List<String> lines(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.isBlank())
                .toList();
    }

    private static Either<CtlFault, ExitCode> tell(Session session, String id, List<LogLine> story, int unreadable) {
        String skipped = unreadable == 0 ? "" : "; %d lines were unreadable".formatted(unreadable);
        if (story.isEmpty()) {
            return Either.left(CtlFault.shouldExist(
                    "a line about request <%s> (a success may not be in the sample, or a node's log is missing)%s"
                            .formatted(id, skipped)));
        }
        story.sort(Comparator.comparing(LogLine::time));
        session.printer()
                .print(
                        story,
                        List.of("TIME", "HOP", "OUTCOME", "REASON", "INPUTS"),
                        story.stream().map(LogLine::cells).toList());
        if (!session.printer().json()
                && story.stream().noneMatch(line -> line.hop().equals("entry"))) {
            session.printer().out().println("no line of the node that took the request: its log is missing");
        }
        if (!session.printer().json() && unreadable > 0) {
            session.printer().out().println(unreadable + " lines were unreadable and are left out");
        }
        return Either.right(ExitCode.OK);
    }
}
