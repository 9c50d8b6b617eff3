package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.node.Timing;

/**
 * The order in which queued requests are dispatched, and how long each is expected to wait. Answers the load of a
 * server that gets more requests than it can run: those that can still meet their objective go first, so that new
 * arrivals keep overtaking the others. A request that can't meet its objective any more therefore waits for the
 * dispatches that overtaking requests leave over, and is refused as soon as these will not come in time.
 */
final class QueueDiscipline {

    /** Longest expected service time of a request that counts as short, as a ratio of the mean over all routes. */
    private static final double SHORT_REQUEST_RATIO = 0.5;
    /** Weight of a dispatch in the share of dispatches left over, as a ratio; covers about the last thirty. */
    private static final double SMOOTHING_FACTOR = 0.03;
    /** Smallest share of dispatches left over that is assumed, so that waits stay finite. */
    private static final double MIN_LEFT_OVER = 0.01;

    /** Longest wait while the sender can ask other servers, as a ratio of the spare time until the objective. */
    private static final double OBJECTIVE_WAIT_RATIO = 0.4;
    /** Longest wait when the sender has no other server to ask, as a ratio of the spare time until the deadline. */
    private static final double DEADLINE_WAIT_RATIO = 0.6;

    private final ServiceTimes serviceTimes;
    private final LinkLimits links;
    private double leftOver = 1;

    QueueDiscipline(ServiceTimes serviceTimes, LinkLimits links) {
        this.serviceTimes = Objects.requireNonNull(serviceTimes, "serviceTimes");
        this.links = Objects.requireNonNull(links, "links");
    }

    /** Returns how long it takes from the dispatch of a request until its sender has the answer, in milliseconds. */
    double answerMillis(AdmissionRequest request) {
        return serviceTimes.millis(request.route()) + links.answerMillis(request);
    }

    /** Returns the order of dispatch: by priority, then requests that are not overtaken, then by what is due first. */
    Comparator<AdmissionRequest> order(long now) {
        return Comparator.comparingInt(AdmissionRequest::priority)
                .thenComparing(request -> isOvertaken(request, now))
                .thenComparingLong(
                        request -> canMeetObjective(request, now) ? request.objectiveAt() : request.deadlineAt());
    }

    /** Returns whether requests that arrive later go first: it is late, and not so short as to delay little. */
    boolean isOvertaken(AdmissionRequest request, long now) {
        return !canMeetObjective(request, now) && !isShort(request);
    }

    private boolean canMeetObjective(AdmissionRequest request, long now) {
        return millisLeft(request.objectiveAt(), now) >= answerMillis(request);
    }

    private boolean isShort(AdmissionRequest request) {
        return serviceTimes.millis(request.route()) <= SHORT_REQUEST_RATIO * serviceTimes.millis();
    }

    /**
     * Records a dispatch.
     *
     * @param isLeftOver whether no request that can meet its objective was queued for it
     */
    void recordDispatch(boolean isLeftOver) {
        leftOver += SMOOTHING_FACTOR * ((isLeftOver ? 1 : 0) - leftOver);
    }

    /**
     * Returns the time until a request is expected to be dispatched, in milliseconds: until a slot is free and, for a
     * large answer, there is room on the link. If a new request is going to miss its objective while it waits, it is
     * expected to be overtaken from then on.
     */
    double waitMillis(AdmissionRequest request, Collection<AdmissionRequest> queued, int slots, long now) {
        List<AdmissionRequest> ahead = ahead(request, queued, now);
        int overtakenAhead = countOvertaken(ahead, now);
        double linkMillis = links.waitMillis(request, ahead);
        double waitMillis =
                Math.max(linkMillis, slotMillis(isOvertaken(request, now), ahead.size(), overtakenAhead, slots));
        if (waitMillis <= spareMillis(request.objectiveAt(), request, now) || isShort(request)) {
            return waitMillis;
        }
        int overtaken = Math.max(overtakenAhead, countOvertaken(queued, now));
        return Math.max(linkMillis, slotMillis(true, ahead.size() - overtakenAhead + overtaken, overtaken, slots));
    }

    /** Returns how long a new request may wait to be worth queueing, in milliseconds. */
    double maxWaitMillis(AdmissionRequest request, long now) {
        double ratio = request.lastChance() ? DEADLINE_WAIT_RATIO : OBJECTIVE_WAIT_RATIO;
        long until = request.lastChance() ? request.deadlineAt() : request.objectiveAt();
        return ratio * spareMillis(until, request, now);
    }

    private int countOvertaken(Collection<AdmissionRequest> requests, long now) {
        int count = 0;
        for (AdmissionRequest request : requests) {
            count += isOvertaken(request, now) ? 1 : 0;
        }
        return count;
    }

    private double slotMillis(boolean isOvertaken, int ahead, int overtakenAhead, int slots) {
        double perDispatch = serviceTimes.millis() / slots;
        return isOvertaken
                ? (ahead - overtakenAhead + (overtakenAhead + 1) / Math.max(MIN_LEFT_OVER, leftOver)) * perDispatch
                : (ahead + 1) * perDispatch;
    }

    /** Returns the queued requests that are dispatched before a request, if no more arrive. */
    List<AdmissionRequest> ahead(AdmissionRequest request, Collection<AdmissionRequest> queued, long now) {
        Comparator<AdmissionRequest> order = order(now);
        List<AdmissionRequest> ahead = new ArrayList<>();
        for (AdmissionRequest other : queued) {
            if (order.compare(other, request) <= 0) {
                ahead.add(other);
            }
        }
        return ahead;
    }

    /** Returns the queued requests that are overtaken and will not be dispatched in time to be answered. */
    List<AdmissionRequest> hopeless(Collection<AdmissionRequest> queued, int slots, long now) {
        List<AdmissionRequest> ordered = new ArrayList<>(queued);
        ordered.sort(order(now));
        List<AdmissionRequest> hopeless = new ArrayList<>();
        List<AdmissionRequest> ahead = new ArrayList<>();
        int overtakenAhead = 0;
        for (AdmissionRequest request : ordered) {
            boolean isOvertaken = isOvertaken(request, now);
            double waitMillis = Math.max(
                    links.waitMillis(request, ahead), slotMillis(isOvertaken, ahead.size(), overtakenAhead, slots));
            if (isOvertaken && waitMillis > spareMillis(request.deadlineAt(), request, now)) {
                hopeless.add(request);
                continue;
            }
            ahead.add(request);
            overtakenAhead += isOvertaken ? 1 : 0;
        }
        return hopeless;
    }

    /** Returns the time until a request has to be dispatched to be answered by a given time, in milliseconds. */
    double spareMillis(long at, AdmissionRequest request, long now) {
        return millisLeft(at, now) - answerMillis(request);
    }

    private static double millisLeft(long at, long now) {
        return (double) (at - now) / Timing.NANOS_PER_MILLI;
    }
}
