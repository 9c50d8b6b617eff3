package org.verbenamast.core.backend;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.keys.KeyGrant;

/**
 * Answers the notices of the backend server beside this node. A notice is handled once the node knows what its earlier
 * processes have recorded, and a leave is confirmed once it is recorded for later processes.
 */
public final class NoticeController {

    /** The vocabulary of chart {@code notice-request}. */
    public static final Vocabulary<NoticeEvent, NoticeGuard, NoticeAction, NoticeTimer, NoticeTag> VOCABULARY =
            new Vocabulary<>(
                    NoticeEvent.class, NoticeGuard.class, NoticeAction.class, NoticeTimer.class, NoticeTag.class);

    private final ChartInstances<Long, NoticeEvent, NoticeData, NoticeInput> notices;
    private final NoticeHandler handler;
    /** The calls without an answer, in the order of their arrival. */
    private final SortedSet<Long> open = new TreeSet<>();

    /**
     * Creates a controller without notices.
     *
     * @param handler handles the notices
     * @param listener notified of each transition
     */
    public NoticeController(NoticeHandler handler, TransitionListener listener) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.notices = new ChartInstances<>(
                ChartReader.bundled("notice-request", VOCABULARY), event -> NoticeInput.NOT_RECORDED, listener);
    }

    /**
     * Handles a notice. A {@link NoticeEffect} with the number of the call answers it, at once or later.
     *
     * @param callId the number of the call, higher than that of all calls before
     * @param notice the notice
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onNotice(long callId, ServerNotice notice, long now, Effects effects) {
        notices.begin(callId, new NoticeData(callId, notice), now);
        open.add(callId);
        review(now, effects);
    }

    /**
     * Handles the notices that were waiting for the node's own row, and confirms those that were waiting for it to be
     * written.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void review(long now, Effects effects) {
        for (long callId : List.copyOf(open)) {
            Instance<NoticeData> notice = notices.find(callId);
            if (notice.hasTag(NoticeTag.RECORDING)) {
                confirmRecorded(notice.data(), now, effects);
            } else if (handler.isReady()) {
                handle(notice.data(), now, effects);
            }
        }
    }

    private void handle(NoticeData data, long now, Effects effects) {
        Optional<NoticeRejection> rejection = handler.handle(data.notice(), now, effects);
        if (rejection.isPresent()) {
            fire(data, NoticeEvent.REJECTED, NoticeInput.rejected(rejection.get()), now, effects);
        } else {
            boolean recorded = isRecorded(data.notice());
            NoticeInput input = recorded ? NoticeInput.recorded(grant(data, now, effects)) : NoticeInput.NOT_RECORDED;
            fire(data, NoticeEvent.APPLIED, input, now, effects);
        }
    }

    private void confirmRecorded(NoticeData data, long now, Effects effects) {
        if (isRecorded(data.notice())) {
            fire(data, NoticeEvent.RECORDED, NoticeInput.recorded(grant(data, now, effects)), now, effects);
        }
    }

    /** Returns whether what a notice announces outlives this process. A server that is ready announces nothing. */
    private boolean isRecorded(ServerNotice notice) {
        return !notice.announcesLeave() || handler.isLeaveRecorded(notice.id());
    }

    private Optional<KeyGrant> grant(NoticeData data, long now, Effects effects) {
        return data.notice().heartbeat().flatMap(heartbeat -> handler.grant(heartbeat, now, effects));
    }

    private void fire(NoticeData data, NoticeEvent event, NoticeInput input, long now, Effects effects) {
        notices.fire(data.callId(), event, input, now, effects);
        removeAnswered();
    }

    /**
     * Rejects the notices whose senders stop waiting shortly.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        notices.advance(now, effects);
        removeAnswered();
    }

    private void removeAnswered() {
        open.removeIf(callId -> notices.find(callId) == null);
    }

    /**
     * Returns whether no notice is waiting for its answer.
     *
     * @return whether all notices have been answered
     */
    public boolean isIdle() {
        return open.isEmpty();
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time in nanoseconds, or {@link Deadlines#NOT_ARMED}
     */
    public long nextDue() {
        return open.isEmpty() ? Deadlines.NOT_ARMED : notices.nextDue();
    }
}
