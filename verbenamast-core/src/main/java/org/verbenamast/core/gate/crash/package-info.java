/** Finds the requests that crash backend servers and stops them in the whole fleet. */
package org.verbenamast.core.gate.crash;
