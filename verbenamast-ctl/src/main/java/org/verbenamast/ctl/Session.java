package org.verbenamast.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.table.ChangeCommand;
import org.verbenamast.core.table.CommandAnswer;
import org.verbenamast.core.table.CommandOutcome;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.OperatorKey;
import org.verbenamast.core.table.OperatorName;
import org.verbenamast.core.table.PublicKeyText;
import org.verbenamast.core.table.SignedText;
import org.verbenamast.wire.OperatorJson;
import org.verbenamast.wire.RowJson;
import org.verbenamast.wire.WireException;

/**
 * What a command needs while it runs.
 *
 * @param options the command line
 * @param settings the operator's settings
 * @param api speaks to nodes
 * @param printer prints results
 * @param clock tells the wall time, as information for other operators
 * @param ids makes ids that no other command has
 */
record Session(
        CtlOptions options,
        CtlSettings settings,
        OperatorApi api,
        Printer printer,
        Supplier<String> clock,
        Supplier<String> ids) {

    Either<CtlFault, OperatorApi.Reply> get(String path) {
        Either<CtlFault, OperatorApi.Reply> last = Either.left(CtlFault.shouldBeGiven("--node"));
        for (Address node : settings.nodes()) {
            last = api.get(node, path).flatMap(Session::accepted);
            if (last.isRight() || last.getLeft().code() != ExitCode.UNREACHABLE) {
                return last;
            }
        }
        return last;
    }

    private Either<CtlFault, OperatorApi.Reply> post(String path, byte[] body) {
        Either<CtlFault, OperatorApi.Reply> last = Either.left(CtlFault.shouldBeGiven("--node"));
        for (Address node : settings.nodes()) {
            last = api.post(node, path, body).flatMap(Session::accepted);
            if (last.isRight() || last.getLeft().code() != ExitCode.UNREACHABLE) {
                return last;
            }
        }
        return last;
    }

    private static Either<CtlFault, OperatorApi.Reply> accepted(OperatorApi.Reply reply) {
        return reply.ok() ? Either.right(reply) : Either.left(CtlFault.shouldBeAccepted(reply.status(), reply.text()));
    }

    Either<CtlFault, List<Row>> rows(String path) {
        return get(path).flatMap(reply -> {
            try {
                return Either.right(RowJson.readReply(reply.body()).rows());
            } catch (WireException e) {
                return Either.left(CtlFault.shouldBeReadable("the node's answer", e.getMessage()));
            }
        });
    }

    <T> Either<CtlFault, List<T>> list(String path, Class<T> type) {
        return get(path).flatMap(reply -> {
            try {
                return Either.right(OperatorJson.readList(reply.body(), type));
            } catch (WireException e) {
                return Either.left(CtlFault.shouldBeReadable("the node's answer", e.getMessage()));
            }
        });
    }

    Either<CtlFault, CommandAnswer> send(ChangeCommand command) {
        return sign(command.signedText())
                .flatMap(signature -> post("/v1/changes", OperatorJson.write(command.withSignature(signature))))
                .flatMap(Session::answer);
    }

    Either<CtlFault, CommandAnswer> send(MarkRow mark) {
        return sign(mark.signedText())
                .flatMap(signature -> post("/v1/marks", OperatorJson.write(mark.withSignature(signature))))
                .flatMap(Session::answer);
    }

    private static Either<CtlFault, CommandAnswer> answer(OperatorApi.Reply reply) {
        try {
            return Either.right(OperatorJson.read(reply.body(), CommandAnswer.class));
        } catch (WireException e) {
            return Either.left(CtlFault.shouldBeReadable("the node's answer", e.getMessage()));
        }
    }

    private Either<CtlFault, String> sign(SignedText text) {
        try {
            OperatorKey key = new OperatorKey(settings.privateKey(), new PublicKeyText(settings.publicKey()));
            return Either.right(key.sign(text));
        } catch (IllegalArgumentException e) {
            return Either.left(CtlFault.shouldBeReadable("the operator's key in --settings", e.getMessage()));
        }
    }

    Either<CtlFault, OperatorName> operator() {
        return settings.operator().isEmpty()
                ? Either.left(CtlFault.shouldBeGiven("operator in --settings"))
                : Either.right(new OperatorName(settings.operator()));
    }

    Either<CtlFault, String> word(int index, String name) {
        return index < options.words.size()
                ? Either.right(options.words.get(index))
                : Either.left(CtlFault.shouldBeGiven(name));
    }

    Either<CtlFault, String> fileText() {
        if (options.file.isEmpty()) {
            return Either.left(CtlFault.shouldBeGiven("--file"));
        }
        try {
            return Either.right(Files.readString(Path.of(options.file)));
        } catch (IOException e) {
            return Either.left(CtlFault.shouldBeReadable(options.file, e.toString()));
        }
    }

    Either<CtlFault, ExitCode> report(CommandAnswer answer) {
        printer.print(
                answer,
                List.of("OUTCOME", "SUBJECT", "STATE", "VERSION"),
                List.of(List.of(
                        answer.outcome().name(),
                        answer.subject(),
                        answer.state().isEmpty() ? "-" : answer.state(),
                        Long.toString(answer.version()))));
        if (answer.fault() == null) {
            return Either.right(ExitCode.OK);
        }
        List<String> messages = new java.util.ArrayList<>(List.of(answer.fault().message()));
        answer.rows().forEach(row -> messages.add(row.toString()));
        boolean unknown = answer.outcome() == CommandOutcome.UNKNOWN;
        return Either.left(new CtlFault(unknown ? ExitCode.UNREACHABLE : ExitCode.REFUSED, messages));
    }
}
