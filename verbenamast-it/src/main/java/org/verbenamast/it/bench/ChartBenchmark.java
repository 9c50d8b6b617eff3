package org.verbenamast.it.bench;

import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.ownership.GrantOrigin;
import org.verbenamast.core.ownership.OwnershipController;
import org.verbenamast.core.ownership.SliceData;
import org.verbenamast.core.ownership.SliceEvent;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.ownership.SliceInput;
import org.verbenamast.core.ownership.SliceMove;

/** Measures a transition that every keyed request takes twice. Target: under a microsecond. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class ChartBenchmark {

    private final Chart<SliceEvent, SliceData, SliceInput> chart =
            ChartReader.bundled("slice", OwnershipController.VOCABULARY);
    private Instance<SliceData> slice = openSlice();

    private Instance<SliceData> openSlice() {
        MemberId owner = new MemberId("stock-1", 1);
        SliceGrant grant = new SliceGrant(owner, 1, GrantOrigin.CLAIMED);
        SliceData data = new SliceData(new SliceId(new ServiceName("stock"), 1), grant, 0, SliceMove.NONE, 0);
        Instance<SliceData> begun = chart.begin(data, 0);
        return chart.fire(begun, SliceEvent.GRANTED, SliceInput.NONE, 0, effect -> {});
    }

    /**
     * Counts a request in and out of an open slice: two transitions.
     *
     * @return the slice, so that nothing is optimised away
     */
    @Benchmark
    public Instance<SliceData> twoTransitions() {
        slice = chart.fire(slice, SliceEvent.STARTED, SliceInput.NONE, 1, effect -> {});
        slice = chart.fire(slice, SliceEvent.FINISHED, SliceInput.NONE, 2, effect -> {});
        return slice;
    }
}
