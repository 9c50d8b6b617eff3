package org.verbenamast.core.client.pipeline;

import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;

/**
 * Decides which requests of a caller's connection are begun while earlier ones are unanswered, and which is the last.
 * Answers are sent in the order of the requests; what follows the last request counts as not read.
 */
public final class Pipeline {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<PipelineEvent, PipelineGuard, PipelineAction, PipelineTimer, PipelineTag>
            VOCABULARY = new Vocabulary<>(
                    PipelineEvent.class,
                    PipelineGuard.class,
                    PipelineAction.class,
                    PipelineTimer.class,
                    PipelineTag.class);

    private static final Effects NO_EFFECTS = effect -> {};

    private final Chart<PipelineEvent, PipelineData, PipelineInput> chart;
    private Instance<PipelineData> connection;

    /**
     * Creates the decisions of one connection.
     *
     * @param chart the chart, which all connections share
     * @param maxUnanswered the most requests that may be unanswered at once
     * @param now the monotonic time, in nanoseconds
     */
    public Pipeline(Chart<PipelineEvent, PipelineData, PipelineInput> chart, long maxUnanswered, long now) {
        this.chart = Objects.requireNonNull(chart, "chart");
        this.connection = chart.begin(PipelineData.initial(maxUnanswered), now);
    }

    /**
     * Loads the chart of all connections.
     *
     * @return the chart
     */
    public static Chart<PipelineEvent, PipelineData, PipelineInput> chart() {
        return ChartReader.bundled("pipeline", VOCABULARY);
    }

    /**
     * Handles the head of the next request.
     *
     * @param request the request and the state of its connection and node
     * @param now the monotonic time, in nanoseconds
     * @return whether the request is begun; otherwise it is offered again after the next answer
     */
    public boolean begin(PipelineInput request, long now) {
        long before = connection.data().unanswered();
        fire(PipelineEvent.REQUEST_READ, request, now);
        return connection.data().unanswered() > before;
    }

    /**
     * Handles the end of the body of the request that was begun last.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void onBodyRead(long now) {
        fire(PipelineEvent.BODY_READ, PipelineInput.NONE, now);
    }

    /**
     * Handles that the first unanswered request gets its answer.
     *
     * @param last whether only the end of the connection can end the answer
     * @param stopping whether the node is stopping
     * @param now the monotonic time, in nanoseconds
     * @return whether the answer has to announce the end of the connection
     */
    public boolean beginAnswer(boolean last, boolean stopping, long now) {
        fire(PipelineEvent.ANSWERING, PipelineInput.answering(last, stopping), now);
        return lastKnown() && connection.data().unanswered() == 1;
    }

    /**
     * Handles that this answer is complete.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void onAnswered(long now) {
        fire(PipelineEvent.ANSWERED, PipelineInput.NONE, now);
    }

    /**
     * Handles that the connection can't be used any more.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void onLost(long now) {
        fire(PipelineEvent.CONNECTION_LOST, PipelineInput.NONE, now);
    }

    /**
     * Fires the timer that is due.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void advance(long now) {
        int timer = connection.deadlines().firstDue(now);
        if (timer >= 0) {
            connection = chart.disarm(connection, timer);
            fire(chart.eventOf(timer), PipelineInput.NONE, now);
        }
    }

    private void fire(PipelineEvent event, PipelineInput input, long now) {
        Transition<PipelineData, PipelineInput> transition = chart.selectTransition(connection, event, input, now);
        if (transition != null) {
            connection = chart.apply(transition, connection, input, now, NO_EFFECTS);
        }
    }

    /**
     * Returns whether the last request has begun, so that nothing more is read but its body.
     *
     * @return whether further requests count as not read
     */
    public boolean lastKnown() {
        return connection.hasTag(PipelineTag.LAST_KNOWN);
    }

    /**
     * Returns whether the last answer and all of its request's body were handled.
     *
     * @return whether this node sends nothing more
     */
    public boolean sendsNoMore() {
        return connection.hasTag(PipelineTag.SENDS_NO_MORE);
    }

    /**
     * Returns whether the connection is to be closed.
     *
     * @return whether nothing more happens on the connection
     */
    public boolean ended() {
        return connection.ended();
    }

    /**
     * Returns whether a request is in progress.
     *
     * @return whether a request is unanswered or its body is not complete
     */
    public boolean busy() {
        return connection.data().unanswered() > 0 || !connection.data().bodyRead();
    }
}
