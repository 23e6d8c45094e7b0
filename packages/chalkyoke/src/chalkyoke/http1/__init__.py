"""
chalkyoke.http1

HTTP/1.1 over TCP on both sides of the gateway, with ``httptools`` (llhttp) as the parser.
"""
