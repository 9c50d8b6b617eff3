package org.verbenamast.ctl;

import java.util.List;
import java.util.function.Function;

import io.vavr.control.Either;
import org.verbenamast.core.table.ChangeCommandKind;
import org.verbenamast.core.table.MarkKind;
import org.verbenamast.core.table.MarkState;

/** The commands. */
enum CtlCommand {
    TABLE_SHOW("table show", "print the version in force", TableCommands::show),
    TABLE_EXPORT(
            "table export", "print the version in force as CSV, or JSON with --format json", TableCommands::export),
    TABLE_IMPORT("table import [CHANGE]", "propose the rows in --file", ChangeCommands::propose),
    TABLE_EDIT("table edit [CHANGE]", "propose the version in force with each row of --set", TableCommands::edit),
    TABLE_DIFF("table diff FROM TO", "print the rows that two versions do not have alike", TableCommands::diff),
    TABLE_LOG("table log", "list the last versions: who, when and why", TableCommands::log),
    CHANGE_PROPOSE("change propose [CHANGE]", "propose the rows in --file", ChangeCommands::propose),
    CHANGE_EDIT("change edit CHANGE", "replace the rows by those in --file; approvals are lost", ChangeCommands::edit),
    CHANGE_APPROVE(
            "change approve CHANGE",
            "sign off the present content",
            session -> ChangeCommands.decide(session, ChangeCommandKind.APPROVE)),
    CHANGE_REFUSE(
            "change refuse CHANGE",
            "turn down a change of the other organisation",
            session -> ChangeCommands.decide(session, ChangeCommandKind.REFUSE)),
    CHANGE_WITHDRAW(
            "change withdraw CHANGE",
            "take back a change of the own organisation",
            session -> ChangeCommands.decide(session, ChangeCommandKind.WITHDRAW)),
    CHANGE_LIST("change list", "list the changes", ChangeCommands::list),
    CHANGE_SHOW("change show CHANGE", "print a change with its steps", ChangeCommands::show),
    ZONE_OUT("zone out ZONE", "take a zone out", session -> FleetCommands.mark(session, MarkKind.ZONE, MarkState.OUT)),
    ZONE_IN("zone in ZONE", "bring a zone back", session -> FleetCommands.mark(session, MarkKind.ZONE, MarkState.IN)),
    SERVER_OUT(
            "server out SERVER",
            "take a backend server out",
            session -> FleetCommands.mark(session, MarkKind.SERVER, MarkState.OUT)),
    SERVER_IN(
            "server in SERVER",
            "bring a backend server back",
            session -> FleetCommands.mark(session, MarkKind.SERVER, MarkState.IN)),
    STATUS("status", "print the members, the marks and the node's own state", FleetCommands::status),
    OWNERS(
            "owners [KEY]",
            "print who owns each slice, or the slice of a key; --service narrows",
            FleetCommands::owners),
    WHY(
            "why SUBJECT [FILE...]",
            "print the recorded decisions of all given nodes about a slice, request or change; with log files (- for"
                    + " standard input), what they tell of a request",
            session -> session.options().words.size() > 2 ? LogCommands.why(session) : FleetCommands.why(session)),
    TIMELINE(
            "timeline KEY|SERVER FILE...",
            "print from log files (- for standard input) who held a key, or what became of a backend server: grants,"
                    + " fencing tokens, leases",
            LogCommands::timeline),
    WATCH("watch", "print the status each second for --seconds", FleetCommands::watch),
    MANIFEST_CHECK(
            "manifest check FILE",
            "check a manifest before it is sent; with --against, print what differs from the version in force",
            ManifestCommands::check),
    CHARTS("charts [NAME]", "print the state charts; --format text, dot or mermaid", ChartCommands::charts),
    KEYGEN("keygen", "print a new key for an operator", FleetCommands::keygen);

    private final String usage;
    private final String about;
    private final Function<Session, Either<CtlFault, ExitCode>> body;

    CtlCommand(String usage, String about, Function<Session, Either<CtlFault, ExitCode>> body) {
        this.usage = usage;
        this.about = about;
        this.body = body;
    }

    Either<CtlFault, ExitCode> run(Session session) {
        return body.apply(session);
    }

    String help() {
        return "  %-26s %s".formatted(usage, about);
    }

    private List<String> words() {
        return List.of(usage.split(" ")).stream()
                .filter(word -> word.equals(word.toLowerCase(java.util.Locale.ROOT)) && !word.startsWith("["))
                .toList();
    }

    static Either<CtlFault, CtlCommand> of(List<String> words) {
        for (CtlCommand command : values()) {
            int length = command.words().size();
            if (words.size() >= length && words.subList(0, length).equals(command.words())) {
                return Either.right(command);
            }
        }
        return Either.left(CtlFault.shouldBeKnownCommand(String.join(" ", words)));
    }
}
