package org.verbenamast.core.chart.file;

import java.util.List;
import java.util.stream.Collectors;

/** A bundled chart file has faults, so that the program can't start. */
public final class ChartException extends RuntimeException {

    private final transient List<ChartFault> faults;

    /**
     * Makes the exception.
     *
     * @param faults all faults found
     */
    public ChartException(List<ChartFault> faults) {
        super(faults.stream().map(f -> f.chart() + ": " + f.message()).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return all faults found
     */
    public List<ChartFault> faults() {
        return faults;
    }
}
