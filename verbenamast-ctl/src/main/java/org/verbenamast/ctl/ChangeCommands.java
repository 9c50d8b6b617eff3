package org.verbenamast.ctl;

import java.util.List;

import io.vavr.control.Either;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.table.ChangeCommand;
import org.verbenamast.core.table.ChangeCommandKind;
import org.verbenamast.core.table.ChangeId;
import org.verbenamast.core.table.ChangeRow;
import org.verbenamast.core.table.ContentHash;
import org.verbenamast.core.table.TableContent;

/** The commands about changes of the table. */
final class ChangeCommands {

    private ChangeCommands() {}

    static Either<CtlFault, ExitCode> propose(Session session) {
        return session.fileText()
                .flatMap(text -> TableFiles.parse(session.options().file, text))
                .flatMap(content -> propose(session, content));
    }

    static Either<CtlFault, ExitCode> propose(Session session, TableContent content) {
        String id = session.options().words.size() > 2
                ? session.options().words.get(2)
                : session.ids().get();
        return TableCommands.present(session)
                .flatMap(table ->
                        command(session, ChangeCommandKind.PROPOSE, id, table.version(), content, ContentHash.NONE));
    }

    static Either<CtlFault, ExitCode> edit(Session session) {
        return found(session).flatMap(change -> session.fileText()
                .flatMap(text -> TableFiles.parse(session.options().file, text))
                .flatMap(content -> TableCommands.present(session)
                        .flatMap(table -> command(
                                session,
                                ChangeCommandKind.EDIT,
                                change.id().value(),
                                table.version(),
                                content,
                                change.content().hash()))));
    }

    static Either<CtlFault, ExitCode> decide(Session session, ChangeCommandKind kind) {
        return found(session)
                .flatMap(change ->
                        command(session, kind, change.id().value(), change.base(), change.content(), ContentHash.NONE));
    }

    private static Either<CtlFault, ExitCode> command(
            Session session, ChangeCommandKind kind, String id, long base, TableContent content, ContentHash replaces) {
        return session.operator()
                .flatMap(operator -> changeId(id)
                        .flatMap(change -> session.send(new ChangeCommand(
                                kind,
                                session.ids().get(),
                                operator,
                                change,
                                base,
                                content.hash(),
                                replaces,
                                kind.carriesContent() ? content : TableContent.EMPTY,
                                session.options().reason,
                                session.clock().get(),
                                ""))))
                .flatMap(session::report);
    }

    private static Either<CtlFault, ChangeId> changeId(String text) {
        try {
            return Either.right(new ChangeId(text));
        } catch (IllegalArgumentException e) {
            return Either.left(CtlFault.shouldBeReadable("the change's id", e.getMessage()));
        }
    }

    private static Either<CtlFault, ChangeRow> found(Session session) {
        return session.word(2, "CHANGE").flatMap(ChangeCommands::changeId).flatMap(id -> session.rows(
                        "/v1/changes/" + id)
                .flatMap(rows -> rows.isEmpty()
                        ? Either.left(CtlFault.shouldExist("change <" + id + ">"))
                        : Either.right((ChangeRow) rows.get(0).value())));
    }

    static Either<CtlFault, ExitCode> list(Session session) {
        return session.rows("/v1/changes").map(rows -> {
            List<ChangeRow> changes =
                    rows.stream().map(Row::value).map(ChangeRow.class::cast).toList();
            session.printer()
                    .print(
                            changes,
                            List.of("CHANGE", "STATE", "BASE", "HASH", "AUTHOR", "SIGNED BY", "REASON"),
                            changes.stream().map(ChangeCommands::line).toList());
            return ExitCode.OK;
        });
    }

    private static List<String> line(ChangeRow change) {
        return List.of(
                change.id().value(),
                change.state(),
                Long.toString(change.base()),
                change.content().hash().abbreviated(),
                change.author().value(),
                change.approvals().stream()
                        .map(a -> a.operator().value())
                        .toList()
                        .toString(),
                change.steps().get(0).reason());
    }

    static Either<CtlFault, ExitCode> show(Session session) {
        return found(session).map(change -> {
            session.printer()
                    .print(
                            change,
                            List.of("STEP", "BY", "OF", "HASH", "AT", "REASON"),
                            change.steps().stream()
                                    .map(step -> List.of(
                                            step.kind().name(),
                                            step.operator().value(),
                                            step.organisation().value(),
                                            step.hash().abbreviated(),
                                            step.at(),
                                            step.reason()))
                                    .toList());
            if (!session.printer().json()) {
                session.printer().out().println("state " + change.state() + ", base " + change.base());
                session.printer().out().print(TableFiles.csv(change.content()));
            }
            return ExitCode.OK;
        });
    }
}
