package org.verbenamast.ctl;

import java.io.PrintStream;
import java.util.List;

import io.vavr.control.Either;
import org.verbenamast.core.chart.file.ChartFile;
import org.verbenamast.core.chart.file.ChartReader;

/** The command that prints charts from their files. */
final class ChartCommands {

    static final List<String> NAMES = List.of(
            "backend",
            "bootstrap",
            "cap-share",
            "change",
            "command",
            "entry",
            "entry-request",
            "follow",
            "gate-request",
            "health",
            "history",
            "lease",
            "lease-watch",
            "mark",
            "member",
            "notice-request",
            "pipeline",
            "reading",
            "row-writer",
            "run",
            "serve",
            "server",
            "slice",
            "stop",
            "store-call",
            "store-era",
            "suspect",
            "takeover",
            "tenure",
            "voucher");

    private ChartCommands() {}

    static Either<CtlFault, ExitCode> charts(Session session) {
        PrintStream out = session.printer().out();
        if (session.options().words.size() < 2) {
            NAMES.forEach(
                    name -> out.println(name + ": " + ChartReader.file(name).about()));
            return Either.right(ExitCode.OK);
        }
        String name = session.options().words.get(1);
        if (!NAMES.contains(name)) {
            return Either.left(CtlFault.shouldExist("chart <" + name + ">, one of " + NAMES));
        }
        for (ChartFormat format : ChartFormat.values()) {
            String wanted = session.options().format.isEmpty() ? "text" : session.options().format;
            if (format.name().equalsIgnoreCase(wanted)) {
                format.print(ChartReader.file(name), out);
                return Either.right(ExitCode.OK);
            }
        }
        return Either.left(CtlFault.shouldBeGiven("--format text, dot or mermaid"));
    }

    /** The forms in which a chart is printed. */
    enum ChartFormat {
        /** Lines for people. */
        TEXT {
            @Override
            void print(ChartFile chart, PrintStream out) {
                out.println(chart.chart() + ": " + chart.about());
                for (ChartFile.StateEntry state : chart.states()) {
                    out.println(state.name() + (state.last() ? " (final)" : "") + ": " + state.about());
                    state.on().forEach(t -> out.println("  " + label(t) + " -> " + target(state, t)));
                }
            }
        },
        /** The language of Graphviz. */
        DOT {
            @Override
            void print(ChartFile chart, PrintStream out) {
                out.println("digraph \"" + chart.chart() + "\" {");
                for (ChartFile.StateEntry state : chart.states()) {
                    out.println("  %s [shape=%s];".formatted(state.name(), state.last() ? "doublecircle" : "box"));
                    state.on()
                            .forEach(t -> out.println(
                                    "  %s -> %s [label=\"%s\"];".formatted(state.name(), target(state, t), label(t))));
                }
                out.println("}");
            }
        },
        /** The language of Mermaid. */
        MERMAID {
            @Override
            void print(ChartFile chart, PrintStream out) {
                out.println("stateDiagram-v2");
                out.println("  [*] --> " + chart.initial());
                for (ChartFile.StateEntry state : chart.states()) {
                    state.on()
                            .forEach(t -> out.println(
                                    "  %s --> %s : %s".formatted(state.name(), target(state, t), label(t))));
                    if (state.last()) {
                        out.println("  " + state.name() + " --> [*]");
                    }
                }
            }
        };

        abstract void print(ChartFile chart, PrintStream out);

        private static String label(ChartFile.TransitionEntry transition) {
            return transition.event() + (transition.when().isEmpty() ? "" : " [" + transition.when() + "]");
        }

        private static String target(ChartFile.StateEntry state, ChartFile.TransitionEntry transition) {
            return transition.to().isEmpty() ? state.name() : transition.to();
        }
    }
}
