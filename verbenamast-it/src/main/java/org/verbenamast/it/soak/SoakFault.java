package org.verbenamast.it.soak;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What may be done to a host from outside. Faults may overlap, and the same one may come again before it has ended. */
enum SoakFault {
    /** The node is killed and stays down for a while. */
    KILL_NODE(at -> at.hosts().killNode(at.host()), at -> at.hosts().mayStartNode(at.host())),
    /** The node is asked to stop; its host starts it again as soon as it has. */
    STOP_NODE(at -> at.hosts().stopNode(at.host()), at -> {}),
    /** The node stands still for a while and goes on. */
    FREEZE_NODE(at -> at.hosts().freezeNode(at.host()), at -> at.hosts().wakeNode(at.host())),
    /** The backend server is killed and comes back as another run. */
    KILL_SERVER(at -> at.hosts().killServer(at.host()), at -> at.hosts().mayStartServer(at.host())),
    /** Node and backend server are killed at once and come back together. */
    LOSE_POWER(
            at -> {
                at.hosts().killNode(at.host());
                at.hosts().killServer(at.host());
            },
            at -> {
                at.hosts().mayStartNode(at.host());
                at.hosts().mayStartServer(at.host());
            }),
    /** The store refuses the host. */
    STORE_REFUSES(SoakTarget::refuseStore, SoakTarget::restoreStore),
    /** The store answers the host late. */
    STORE_SLOW(SoakTarget::slowStore, SoakTarget::restoreStore),
    /** What the host asks of the store vanishes. */
    STORE_SILENT(SoakTarget::loseCallsToStore, SoakTarget::restoreStore),
    /** The store does what the host asks, but its answers vanish. */
    STORE_ANSWERS_LOST(SoakTarget::loseAnswersOfStore, SoakTarget::restoreStore),
    /** The store is silent for all hosts for a moment and comes back from an older copy; drawn in drills only. */
    STORE_COMES_BACK_OLDER(SoakTarget::loseWritesOfStore, at -> {});

    private static final List<SoakFault> WITHOUT_DRILL =
            Stream.of(values()).filter(fault -> fault != STORE_COMES_BACK_OLDER).toList();

    private final Consumer<SoakTarget> beginning;
    private final Consumer<SoakTarget> ending;

    SoakFault(Consumer<SoakTarget> beginning, Consumer<SoakTarget> ending) {
        this.beginning = beginning;
        this.ending = ending;
    }

    /**
     * Returns the faults of a soak.
     *
     * @param drill whether the store may come back from an older copy
     * @return the faults that may be drawn
     */
    static List<SoakFault> drawn(boolean drill) {
        return drill ? List.of(values()) : WITHOUT_DRILL;
    }

    /**
     * Begins the fault.
     *
     * @param at the host that it strikes
     */
    void begin(SoakTarget at) {
        beginning.accept(at);
    }

    /**
     * Ends the fault, where it does not end by itself.
     *
     * @param at the host that it struck
     */
    void end(SoakTarget at) {
        ending.accept(at);
    }
}
