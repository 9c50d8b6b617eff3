/** HTTP clients that speak to IP numbers. */
package org.verbenamast.http;
