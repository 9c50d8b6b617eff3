/** A TCP proxy that cuts, delays and loses on demand. */
package org.verbenamast.standins.proxy;
