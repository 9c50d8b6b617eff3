/** Detects the requests that crash backend servers, and refuses them in the whole fleet. */
package org.verbenamast.core.gate.crash;
