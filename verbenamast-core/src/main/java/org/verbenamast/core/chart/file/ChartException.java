package org.verbenamast.core.chart.file;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown where a chart file that ships with the program is missing or has faults; the process can't start then. */
public final class ChartException extends RuntimeException {

    private final transient List<ChartFault> faults;

    /**
     * Creates the exception; its message lists all faults with the charts' names.
     *
     * @param faults all faults found
     */
    public ChartException(List<ChartFault> faults) {
        super(faults.stream().map(f -> f.chart() + ": " + f.message()).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults in the order in which they were found.
     *
     * @return all faults found
     */
    public List<ChartFault> faults() {
        return faults;
    }
}
