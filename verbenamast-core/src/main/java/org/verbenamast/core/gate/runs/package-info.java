/** Keeps what ran of the requests that must not be repeated, so that a resend never runs a second time. */
package org.verbenamast.core.gate.runs;
