package org.verbenamast.core.admission;

import java.util.Collection;

/** What the node's link carries: large answers on their way out, and large bodies on their way in. */
final class LinkLimits {

    private final TransferLimit answers;
    private final BodyLimit bodies = new BodyLimit();

    LinkLimits(ServiceTimes serviceTimes) {
        answers = new TransferLimit(serviceTimes);
    }

    TransferLimit answers() {
        return answers;
    }

    BodyLimit bodies() {
        return bodies;
    }

    /** Returns whether the link has room for the body and the answer of a request. */
    boolean allows(AdmissionRequest request) {
        return answers.allows(request) && bodies.allows(request);
    }

    /** Returns for how long the answer to a request occupies the link after the server has made it, in milliseconds. */
    double answerMillis(AdmissionRequest request) {
        return answers.millis(request);
    }

    /** Returns how long a request waits for the link behind others, in milliseconds. */
    double waitMillis(AdmissionRequest request, Collection<AdmissionRequest> ahead) {
        return Math.max(answers.waitMillis(request, ahead), bodies.waitMillis(request, ahead));
    }
}
