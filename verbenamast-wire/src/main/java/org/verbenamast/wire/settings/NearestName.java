package org.verbenamast.wire.settings;

import java.util.Collection;
import java.util.Comparator;

/** Finds the known name that is most like a mistyped one. */
final class NearestName {

    private NearestName() {}

    static String of(String name, Collection<String> known) {
        return known.stream()
                .min(Comparator.comparingInt((String candidate) -> distance(name, candidate))
                        .thenComparing(Comparator.naturalOrder()))
                .orElse("");
    }

    /** Counts the single-letter changes that turn one name into the other. */
    private static int distance(String from, String to) {
        int[] row = new int[to.length() + 1];
        for (int j = 0; j <= to.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int same = from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1;
                int next = Math.min(Math.min(row[j], row[j - 1]) + 1, diagonal + same);
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[to.length()];
    }
}
