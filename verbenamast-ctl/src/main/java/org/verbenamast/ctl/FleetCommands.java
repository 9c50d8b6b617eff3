package org.verbenamast.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.table.MarkKind;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.MarkState;
import org.verbenamast.core.table.MarkStatus;
import org.verbenamast.core.table.MarkSubject;
import org.verbenamast.core.table.OperatorKey;
import org.verbenamast.core.trace.Decision;
import org.verbenamast.wire.OperatorJson;
import org.verbenamast.wire.WireException;

/** The commands about what is in service, who owns what, and why. */
final class FleetCommands {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private FleetCommands() {}

    /**
     * A member as a node reports it.
     *
     * @param member the member
     * @param service its service
     * @param zone its availability zone
     * @param status where it stands
     * @param peer where other members reach it
     */
    record MemberItem(String member, String service, String zone, String status, String peer) {}

    /**
     * A node as it reports itself.
     *
     * @param joined whether it serves
     * @param stopping whether it is stopping
     * @param slicesOwned how many slices it owns
     * @param running how many requests its backend server has
     * @param tableVersion the version of the table in force there
     * @param members the members that it knows
     */
    record Status(
            boolean joined,
            boolean stopping,
            int slicesOwned,
            int running,
            long tableVersion,
            List<MemberItem> members) {}

    /**
     * The owner of a slice.
     *
     * @param slice the slice
     * @param owner the owner
     * @param epoch the epoch
     */
    record OwnerItem(String slice, String owner, long epoch) {}

    static Either<CtlFault, ExitCode> mark(Session session, MarkKind kind, MarkState state) {
        return session.word(2, "NAME")
                .map(name -> new MarkSubject(kind, name))
                .flatMap(subject -> session.list("/v1/marks", MarkStatus.class).flatMap(marks -> session.operator()
                        .flatMap(operator -> session.send(new MarkRow(
                                subject,
                                state,
                                counterOf(marks, subject) + 1,
                                operator,
                                session.options().reason,
                                session.clock().get(),
                                session.ids().get(),
                                "")))))
                .flatMap(session::report);
    }

    private static long counterOf(List<MarkStatus> marks, MarkSubject subject) {
        return marks.stream()
                .filter(status -> status.mark().subject().equals(subject))
                .mapToLong(status -> status.mark().counter())
                .max()
                .orElse(0);
    }

    static Either<CtlFault, ExitCode> status(Session session) {
        return session.get("/v1/status").flatMap(reply -> {
            Status status;
            try {
                status = OperatorJson.read(reply.body(), Status.class);
            } catch (WireException e) {
                return Either.left(CtlFault.shouldBeReadable("the node's answer", e.getMessage()));
            }
            return session.list("/v1/marks", MarkStatus.class).map(marks -> {
                print(session, status, marks);
                return ExitCode.OK;
            });
        });
    }

    private static void print(Session session, Status status, List<MarkStatus> marks) {
        session.printer()
                .print(
                        status,
                        List.of("MEMBER", "SERVICE", "ZONE", "STATUS", "PEER"),
                        status.members().stream()
                                .map(m -> List.of(m.member(), m.service(), m.zone(), m.status(), m.peer()))
                                .toList());
        if (session.printer().json()) {
            return;
        }
        for (MarkStatus mark : marks) {
            String kept = mark.durable() ? "" : " (in force, not yet durable)";
            session.printer()
                    .out()
                    .println("%s is %s, mark %d by %s%s"
                            .formatted(
                                    mark.mark().subject(),
                                    mark.mark().state(),
                                    mark.mark().counter(),
                                    mark.mark().operator(),
                                    kept));
        }
        session.printer()
                .out()
                .println("this node: joined %s, stopping %s, owns %d slices, runs %d, table version %d"
                        .formatted(
                                status.joined(),
                                status.stopping(),
                                status.slicesOwned(),
                                status.running(),
                                status.tableVersion()));
    }

    static Either<CtlFault, ExitCode> watch(Session session) {
        Either<CtlFault, ExitCode> last = status(session);
        for (int second = 1; second < session.options().seconds && last.isRight(); second++) {
            session.api().pause(MILLIS_PER_SECOND);
            last = status(session);
        }
        return last;
    }

    static Either<CtlFault, ExitCode> owners(Session session) {
        StringBuilder path = new StringBuilder("/v1/owners?");
        if (!session.options().service.isEmpty()) {
            path.append("service=").append(encoded(session.options().service)).append('&');
        }
        if (session.options().words.size() > 1) {
            path.append("key=").append(encoded(session.options().words.get(1)));
        }
        return session.list(path.toString(), OwnerItem.class).map(owners -> {
            session.printer()
                    .print(
                            owners,
                            List.of("SLICE", "OWNER", "EPOCH"),
                            owners.stream()
                                    .map(o -> List.of(o.slice(), o.owner(), Long.toString(o.epoch())))
                                    .toList());
            return ExitCode.OK;
        });
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    static Either<CtlFault, ExitCode> why(Session session) {
        return session.word(1, "SUBJECT").flatMap(subject -> {
            List<List<String>> lines = new ArrayList<>();
            List<Decision> all = new ArrayList<>();
            for (Address node : session.settings().nodes()) {
                Session one = new Session(
                        session.options(),
                        session.settings().withNodes(List.of(node)),
                        session.api(),
                        session.printer(),
                        session.clock(),
                        session.ids());
                Either<CtlFault, List<Decision>> decisions =
                        one.list("/v1/decisions?subject=" + encoded(subject), Decision.class);
                if (decisions.isLeft()) {
                    return Either.left(decisions.getLeft());
                }
                all.addAll(decisions.get());
                decisions.get().forEach(decision -> lines.add(line(node, decision)));
            }
            session.printer()
                    .print(all, List.of("NODE", "SECOND", "CHART", "SUBJECT", "EVENT", "GUARD", "FROM", "TO"), lines);
            return all.isEmpty()
                    ? Either.left(CtlFault.shouldExist("a recorded decision about <" + subject + ">"))
                    : Either.right(ExitCode.OK);
        });
    }

    private static List<String> line(Address node, Decision decision) {
        return List.of(
                node.toString(),
                "%.3f".formatted(decision.at() / NANOS_PER_SECOND),
                decision.chart(),
                decision.subject(),
                decision.event(),
                decision.guard().isEmpty() ? "-" : decision.guard(),
                decision.from(),
                decision.to());
    }

    static Either<CtlFault, ExitCode> keygen(Session session) {
        OperatorKey key = OperatorKey.generate();
        session.printer()
                .out()
                .println(
                        "{\"privateKey\": \"%s\", \"publicKey\": \"%s\"}".formatted(key.privateKey(), key.publicKey()));
        return Either.right(ExitCode.OK);
    }
}
