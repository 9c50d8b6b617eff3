package org.verbenamast.node.telemetry;

import java.util.List;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;

/** The W3C trace context as a text. */
final class TraceParent {

    private static final String FIELD = "traceparent";

    private TraceParent() {}

    static Context read(String text) {
        return W3CTraceContextPropagator.getInstance().extract(Context.root(), text, new TextGetter());
    }

    static String write(SpanContext context) {
        StringBuilder text = new StringBuilder();
        Context current = Context.root().with(Span.wrap(context));
        W3CTraceContextPropagator.getInstance().inject(current, text, (carrier, field, value) -> {
            if (FIELD.equals(field)) {
                carrier.append(value);
            }
        });
        return text.toString();
    }

    private static final class TextGetter implements TextMapGetter<String> {

        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(FIELD);
        }

        @Override
        public String get(String carrier, String field) {
            return FIELD.equals(field) && !carrier.isEmpty() ? carrier : null;
        }
    }
}
