package org.verbenamast.ctl;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import org.verbenamast.wire.OperatorJson;

/**
 * Prints results: tables for people, JSON for programs.
 *
 * @param out where results go
 * @param json whether results are for programs
 */
record Printer(PrintStream out, boolean json) {

    private static final String GAP = "  ";

    /**
     * Prints a result.
     *
     * @param value the result as a record or a list of records
     * @param header the names of the columns
     * @param rows the cells
     */
    void print(Object value, List<String> header, List<List<String>> rows) {
        if (json) {
            out.println(new String(OperatorJson.write(value), StandardCharsets.UTF_8));
            return;
        }
        List<List<String>> lines = new ArrayList<>();
        lines.add(header);
        lines.addAll(rows);
        int[] widths = new int[header.size()];
        lines.forEach(line -> widen(widths, line));
        lines.forEach(line -> out.println(padded(widths, line)));
    }

    private static void widen(int[] widths, List<String> line) {
        for (int i = 0; i < widths.length; i++) {
            widths[i] = Math.max(widths[i], line.get(i).length());
        }
    }

    private static String padded(int[] widths, List<String> line) {
        List<String> cells = new ArrayList<>();
        for (int i = 0; i < widths.length; i++) {
            cells.add(line.get(i) + " ".repeat(widths[i] - line.get(i).length()));
        }
        return cells.stream().collect(Collectors.joining(GAP)).stripTrailing();
    }
}
