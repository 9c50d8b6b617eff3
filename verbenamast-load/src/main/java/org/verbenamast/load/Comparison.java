package org.verbenamast.load;

/** Compares two reports. */
final class Comparison {

    private Comparison() {}

    static String of(LoadReport first, LoadReport second) {
        StringBuilder text = new StringBuilder(of(first.all(), second.all()));
        for (LoadFigures figures : first.services()) {
            second.services().stream()
                    .filter(other -> other.name().equals(figures.name()))
                    .forEach(other -> text.append(of(figures, other)));
        }
        return text.toString();
    }

    private static String of(LoadFigures first, LoadFigures second) {
        StringBuilder text =
                new StringBuilder("%-12s %12s %12s %8s%n".formatted(first.name(), "first", "second", "ratio"));
        row(text, "sent", first.sent(), second.sent());
        row(text, "answered", first.answered(), second.answered());
        row(text, "not run", first.notRun(), second.notRun());
        row(text, "unknown", first.unknown(), second.unknown());
        row(text, "failed", first.failed(), second.failed());
        row(text, "p50 us", first.p50Micros(), second.p50Micros());
        row(text, "p99 us", first.p99Micros(), second.p99Micros());
        row(text, "p99.9 us", first.p999Micros(), second.p999Micros());
        row(text, "max us", first.maxMicros(), second.maxMicros());
        return text.toString();
    }

    private static void row(StringBuilder text, String name, long first, long second) {
        String ratio = first == 0 ? "-" : "%.2f".formatted((double) second / first);
        text.append("%-12s %12d %12d %8s%n".formatted(name, first, second, ratio));
    }
}
